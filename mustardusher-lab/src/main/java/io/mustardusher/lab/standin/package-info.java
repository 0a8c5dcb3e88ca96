/** Simulated platform and backend servers, with fault injection. */
package io.mustardusher.lab.standin;
