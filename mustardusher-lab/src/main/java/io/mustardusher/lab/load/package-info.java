/** Open-loop load, and what became of each call. */
package io.mustardusher.lab.load;
