/** Tracking of the backend server process beside a node from announcements that may arrive late or be forged. */
package io.mustardusher.instance;
