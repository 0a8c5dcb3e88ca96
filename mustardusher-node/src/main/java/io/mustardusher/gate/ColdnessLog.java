package io.mustardusher.gate;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.mustardusher.admission.Admission;
import io.mustardusher.log.NodeLog;
import io.mustardusher.result.ResultCode;

/**
 * Logs when the backend server of a gate becomes cold or warm, and counts how often it becomes cold and the calls that
 * are refused meanwhile.
 */
final class ColdnessLog {

    /** Rejections of calls for which a cold server has no room. */
    private static final Set<ResultCode> LACK_OF_ROOM =
            EnumSet.of(ResultCode.OVERLOADED, ResultCode.DEADLINE_UNREACHABLE, ResultCode.SLOWER_THAN_TARGET);

    /** Name of the counter of calls that were refused while the server was cold. */
    static final String REFUSED_METRIC = "gate.coldRefused";

    private final MetricRegistry metrics;

    private final Counter refused;

    private final AtomicBoolean cold = new AtomicBoolean();

    /**
     * Creates a log for a server that is warm.
     *
     * @param metrics registry of metrics
     */
    ColdnessLog(MetricRegistry metrics) {
        this.metrics = metrics;
        this.refused = metrics.counter(REFUSED_METRIC);
    }

    /**
     * Counts the rejection of a call if it is for lack of room at a server that is cold.
     *
     * @param code      reason of the rejection
     * @param admission decides whether the server is cold
     */
    void recordRejection(ResultCode code, Admission admission) {
        if (LACK_OF_ROOM.contains(code) && admission.isCold()) {
            refused.inc();
        }
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
