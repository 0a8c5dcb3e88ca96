/** Reports and plots. */
package io.mustardusher.lab.report;
