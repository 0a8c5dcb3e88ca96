/** Runs deployments on one machine: a simulated platform, simulated backend servers, and real nodes. */
package io.mustardusher.lab.cluster;
