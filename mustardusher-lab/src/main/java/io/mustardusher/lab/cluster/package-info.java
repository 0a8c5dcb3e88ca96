/** A deployment on one machine: the platform's stand-in, backend servers, and node processes. */
package io.mustardusher.lab.cluster;
