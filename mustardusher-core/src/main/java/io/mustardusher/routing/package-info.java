/** Selection of a backend server for a call by the load of the servers. */
package io.mustardusher.routing;
