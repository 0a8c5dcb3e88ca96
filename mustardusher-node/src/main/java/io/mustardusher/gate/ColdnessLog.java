package io.mustardusher.gate;

import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.MetricRegistry;
import io.mustardusher.log.NodeLog;

/** Logs when the backend server of a gate becomes cold or warm, and counts how often it becomes cold. */
final class ColdnessLog {

    private final MetricRegistry metrics;

    private final AtomicBoolean cold = new AtomicBoolean();

    /**
     * Creates a log for a server that is warm.
     *
     * @param metrics registry of metrics
     */
    ColdnessLog(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Records whether the server is cold.
     *
     * @param nowCold  {@code true} if it is
     * @param instance identifier of the server instance
     */
    void update(boolean nowCold, String instance) {
        if (!cold.compareAndSet(!nowCold, nowCold)) {
            return;
        }
        if (nowCold) {
            NodeLog.LOG.serverCold(instance);
            metrics.counter("gate.coldStarts").inc();
        } else {
            NodeLog.LOG.serverWarm(instance);
        }
    }
}
