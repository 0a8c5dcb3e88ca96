package io.mustardusher.call;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import io.mustardusher.admission.Ticket;
import io.mustardusher.nested.RunningCall;
import io.mustardusher.routing.Mobility;

/** The headers that state to a gate the order of a call among those of its class. */
public final class PrecedenceHeaders {

    private PrecedenceHeaders() {}

    /**
     * Writes the headers of a call. A nested call has the account and the route priority of the call that made it.
     *
     * @param options options of the call
     * @param headers receives the headers
     */
    static void write(CallOptions options, RequestHeadersBuilder headers) {
        options.account()
                .ifPresent(account ->
                        headers.set(CallHeaders.ACCOUNT, encode(account.name().value())));
        int routePriority = options.parent()
                .map(parent -> parent.precedence().routePriority())
                .orElse(options.routePriority());
        if (routePriority != 0) {
            headers.setInt(CallHeaders.ROUTE_PRIORITY, routePriority);
        }
        options.parent().map(RunningCall::precedence).ifPresent(parent -> {
            headers.set(CallHeaders.NESTED, "1");
            if (!parent.account().isEmpty()) {
                headers.set(CallHeaders.ACCOUNT, parent.account());
            }
        });
    }

    /**
     * Reads the headers of a call at a gate.
     *
     * @param headers headers of the call
     * @return order of the call within its class; the account is the encoded name
     */
    public static Ticket.Precedence read(RequestHeaders headers) {
        int routePriority = headers.getInt(CallHeaders.ROUTE_PRIORITY, 0);
        boolean nested = headers.contains(CallHeaders.NESTED);
        String account = headers.get(CallHeaders.ACCOUNT, "");
        return routePriority == 0 && !nested && account.isEmpty()
                ? Ticket.Precedence.NONE
                : new Ticket.Precedence(routePriority, nested, account);
    }

    // Names may contain characters that header values may not.
    private static String encode(String account) {
        return URLEncoder.encode(account, StandardCharsets.UTF_8);
    }

    /**
     * Reads by when the answer to a call is desired.
     *
     * @param headers headers of the call
     * @param now     current time, in nanoseconds
     * @return the target
     */
    public static Ticket.LatencyTarget readTarget(RequestHeaders headers, long now) {
        String target = headers.get(CallHeaders.TARGET);
        if (target == null) {
            return Ticket.LatencyTarget.NONE;
        }
        long targetNanos = Timeout.parse(target).orElse(0);
        return new Ticket.LatencyTarget(now + targetNanos, Mobility.of(headers.get(CallHeaders.MOVABLE)));
    }
}
