/** Open-loop load generator and statistics of the results of its calls. */
package io.mustardusher.lab.load;
