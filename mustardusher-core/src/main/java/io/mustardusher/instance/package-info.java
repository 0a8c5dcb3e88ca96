/** Which start of a backend server stands behind the gate, told from announcements that may be late or forged. */
package io.mustardusher.instance;
