/** Admission control of a gate: concurrency limits, queueing, and the rejection of calls before they are dispatched. */
package io.mustardusher.admission;
