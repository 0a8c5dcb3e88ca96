package io.mustardusher.gate;

import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.log.NodeLog;
import io.mustardusher.server.ReportedServerLoad;
import io.mustardusher.server.ResponseFault;
import io.mustardusher.server.ServerReports;

/**
 * Passes what a backend server reports about itself to its gate, and records irregular responses in log and metrics.
 *
 * @param gate    supplies the gate, which is created after the link to the server
 * @param metrics registry of metrics
 */
public record GateReports(Supplier<Gate> gate, MetricRegistry metrics) implements ServerReports {

    private static final String NONE = "-";

    @Override
    public void onLoad(ReportedServerLoad load) {
        gate.get().recordServerLoad(load);
    }

    @Override
    public void onConditions(String instance, ServerConditions conditions, long sentNanos) {
        gate.get().recordConditions(instance, conditions, sentNanos);
    }

    @Override
    public void onHealth(long coldMillis, long sentNanos) {
        gate.get().recordHealth(coldMillis, sentNanos);
    }

    // The log line of the call names the reason.
    @Override
    public void onResponseFault(ResponseFault fault) {
        metrics.counter("gate.responseFaults." + fault.label()).inc();
    }

    @Override
    public void onDiscardedResponse(Optional<String> received, Optional<String> awaited) {
        metrics.counter("gate.discardedResponses").inc();
        NodeLog.DECISIONS.responseDiscarded(received.orElse(NONE), awaited.orElse(NONE));
    }

    @Override
    public void onRepeatedRequest(String request) {
        metrics.counter("gate.repeatedRequests").inc();
        NodeLog.DECISIONS.requestRepeated(request);
    }
}
