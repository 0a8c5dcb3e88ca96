/** Passive health tracking of backend servers, and detection of calls that may crash them. */
package io.mustardusher.health;
