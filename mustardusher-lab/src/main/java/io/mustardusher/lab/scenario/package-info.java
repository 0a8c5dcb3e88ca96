/** Scripted scenarios: load, faults and operations at given times, and expectations on the measured results. */
package io.mustardusher.lab.scenario;
