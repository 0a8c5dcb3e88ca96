/** The gate: the only way to the backend server beside it. */
package io.mustardusher.gate;
