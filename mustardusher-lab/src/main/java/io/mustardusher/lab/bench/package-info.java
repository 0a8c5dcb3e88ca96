/** Benchmarks of latency, routing policies, single decisions and control traffic. */
package io.mustardusher.lab.bench;
