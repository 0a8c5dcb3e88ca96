package io.mustardusher.gate;

import com.codahale.metrics.MetricRegistry;

/**
 * Whether the backend server of a gate is cold, for operators.
 *
 * @param cold    whether it is cold, as far as it is known
 * @param refused number of calls for which it had no room while it was cold, since the start of the process
 */
public record ColdState(boolean cold, long refused) {

    /**
     * Returns the state of a gate's server.
     *
     * @param gate    the gate
     * @param metrics registry of metrics of the gate
     * @return the state
     */
    public static ColdState of(Gate gate, MetricRegistry metrics) {
        return new ColdState(
                gate.admission().isCold(),
                metrics.counter(ColdnessLog.REFUSED_METRIC).getCount());
    }
}
