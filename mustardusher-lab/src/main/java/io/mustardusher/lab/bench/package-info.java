/** Benchmarks. */
package io.mustardusher.lab.bench;
