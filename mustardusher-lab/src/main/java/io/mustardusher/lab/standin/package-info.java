/** Stand-ins for the platform and for backend servers. */
package io.mustardusher.lab.standin;
