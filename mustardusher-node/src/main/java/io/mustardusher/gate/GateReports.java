package io.mustardusher.gate;

import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.log.LoggedName;
import io.mustardusher.log.NodeLog;
import io.mustardusher.nested.NestedCallForecast;
import io.mustardusher.nested.RunningCalls;
import io.mustardusher.server.DiscardedResponse;
import io.mustardusher.server.IrregularResponses;
import io.mustardusher.server.ReportedServerLoad;
import io.mustardusher.server.ResponseFault;
import io.mustardusher.server.ServerReports;
import io.mustardusher.server.SyntaxFault;
import io.mustardusher.time.Clock;

/**
 * Passes what a backend server reports about itself to its gate, and records irregular responses in log and metrics.
 *
 * @param gate    supplies the gate, which is created after the link to the server
 * @param metrics registry of metrics
 */
public record GateReports(Supplier<Gate> gate, MetricRegistry metrics) implements ServerReports {

    private static final String NONE = "-";

    /**
     * Creates the registry of the calls at the backend server, which records overlapping runs and refusals ahead of
     * nested calls.
     *
     * @param clock   source of time
     * @param metrics registry of metrics
     * @return registry without calls
     */
    static RunningCalls createRunningCalls(Clock clock, MetricRegistry metrics) {
        Counter overlaps = metrics.counter("gate.overlappingRuns");
        NestedCallForecast forecast = new NestedCallForecast(clock, NodeLog.LOG::rootsRefused);
        return new RunningCalls(forecast, call -> {
            overlaps.inc();
            NodeLog.DECISIONS.runOverlaps(LoggedName.of(call));
        });
    }

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
        IrregularResponses.ofBackendServer(metrics).onResponseFault(fault);
    }

    @Override
    public void onMalformedResponse(SyntaxFault fault) {
        IrregularResponses.ofBackendServer(metrics).onMalformedResponse(fault);
    }

    @Override
    public void onDiscardedResponse(DiscardedResponse response) {
        metrics.counter("gate.discardedResponses").inc();
        NodeLog.DECISIONS.responseDiscarded(
                LoggedName.of(response.request().orElse(NONE)),
                response.status(),
                response.connection(),
                LoggedName.of(response.awaited().orElse(NONE)));
    }

    @Override
    public void onRepeatedRequest(String request) {
        metrics.counter("gate.repeatedRequests").inc();
        NodeLog.DECISIONS.requestRepeated(LoggedName.of(request));
    }
}
