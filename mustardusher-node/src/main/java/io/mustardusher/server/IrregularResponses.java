package io.mustardusher.server;

import com.codahale.metrics.MetricRegistry;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.log.NodeLog;

/**
 * Records irregular responses of one sender in log and metrics.
 *
 * @param sender  name of the sender in the log
 * @param prefix  first part of the names of the metrics
 * @param metrics registry of metrics
 */
public record IrregularResponses(String sender, String prefix, MetricRegistry metrics) implements ServerReports {

    /**
     * Records irregular responses of the backend server next to this node.
     *
     * @param metrics registry of metrics
     * @return receiver of reports
     */
    public static IrregularResponses ofBackendServer(MetricRegistry metrics) {
        return new IrregularResponses("the backend server", "gate", metrics);
    }

    /**
     * Records irregular responses of the table service.
     *
     * @param metrics registry of metrics
     * @return receiver of reports
     */
    public static IrregularResponses ofTableService(MetricRegistry metrics) {
        return new IrregularResponses("the table service", "store", metrics);
    }

    /**
     * Records irregular responses of nodes and servers to which requests are streamed.
     *
     * @param metrics registry of metrics
     * @return receiver of reports
     */
    public static IrregularResponses ofStreams(MetricRegistry metrics) {
        return new IrregularResponses("the receiver of a stream", "streams", metrics);
    }

    @Override
    public void onResponseFault(ResponseFault fault) {
        metrics.counter(prefix + ".responseFaults." + fault.label()).inc();
    }

    @Override
    public void onMalformedResponse(SyntaxFault fault) {
        metrics.counter(prefix + ".malformedResponses." + fault.label()).inc();
        NodeLog.LOG.responseMalformed(sender, fault.description());
    }

    @Override
    public void onLoad(ReportedServerLoad load) {
        // not an irregularity
    }

    @Override
    public void onConditions(String instance, ServerConditions conditions, long sentNanos) {
        // not an irregularity
    }
}
