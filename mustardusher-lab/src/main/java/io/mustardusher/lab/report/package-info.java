/** Writes the results of scenarios as JSON and as plots. */
package io.mustardusher.lab.report;
