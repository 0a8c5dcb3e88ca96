/**
 * Discrete-event model of a deployment. Callers, links, processors and backend servers are simulated; servers are
 * selected, calls are admitted, queued, rejected and retried by the classes that nodes run.
 */
package io.mustardusher.model;
