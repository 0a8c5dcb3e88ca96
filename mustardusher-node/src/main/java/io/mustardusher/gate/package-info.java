/** The gate, through which every call reaches the backend server beside the node. */
package io.mustardusher.gate;
