/** Connections from a gate to the backend server beside it. */
package io.mustardusher.server;
