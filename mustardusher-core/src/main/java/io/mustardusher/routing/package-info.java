/** Choosing a backend server for a call from what is known of its load. */
package io.mustardusher.routing;
