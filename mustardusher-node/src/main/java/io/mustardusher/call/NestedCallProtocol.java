package io.mustardusher.call;

import java.util.Optional;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.log.DecisionLog;
import io.mustardusher.nested.RunningCall;
import io.mustardusher.nested.RunningCalls;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RequestLimits;

/** Caller protocol that recognises the nested calls of the requests at the backend server beside the node. */
public final class NestedCallProtocol implements CallerProtocol {

    private final CallerProtocol protocol;
    private final RunningCalls runningCalls;
    private final Counter recognised;

    /**
     * Creates a protocol.
     *
     * @param protocol     protocol of the calls
     * @param runningCalls calls at the backend server beside the node
     * @param metrics      registry of metrics
     */
    public NestedCallProtocol(CallerProtocol protocol, RunningCalls runningCalls, MetricRegistry metrics) {
        this.protocol = protocol;
        this.runningCalls = runningCalls;
        this.recognised = metrics.counter("entry.nestedCalls");
    }

    @Override
    public Call read(RequestHeaders headers, long now) {
        Call call = protocol.read(headers, now);
        Optional<RunningCall> parent = runningCalls.findParent(call.options().id());
        return parent.map(running -> toNestedCall(call, running, now)).orElse(call);
    }

    private Call toNestedCall(Call call, RunningCall parent, long now) {
        if (now - parent.deadlineNanos() >= 0) {
            throw new MustardusherException(ResultCode.DEADLINE_EXPIRED, "the request that calls has no time left");
        }
        recognised.inc();
        DecisionLog.INSTANCE.nestedCall(call.options().id(), call.service().value(), parent.route());
        return call.withParent(parent);
    }

    @Override
    public String callName(RequestHeaders request) {
        return protocol.callName(request);
    }

    @Override
    public RequestLimits limits() {
        return protocol.limits();
    }

    @Override
    public HttpResponse write(RequestHeaders request, HttpResponse answer) {
        return protocol.write(request, answer);
    }

    @Override
    public Optional<String> signature(ResponseHeaders answer) {
        return protocol.signature(answer);
    }
}
