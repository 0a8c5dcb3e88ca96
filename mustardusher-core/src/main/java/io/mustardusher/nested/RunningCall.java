package io.mustardusher.nested;

import java.util.HashMap;
import java.util.Map;

import io.mustardusher.admission.Ticket;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.catalogue.ServiceName;

/** A call that runs at the backend server beside this node, and the nested calls that it has made so far. */
public final class RunningCall {

    private final String id;
    private final String route;
    private final ServiceClass serviceClass;
    private final Ticket.Precedence precedence;
    private final long deadlineNanos;
    private final Map<ServiceName, NestedCalls> nested = new HashMap<>();

    /**
     * Creates a call that has made no nested calls.
     *
     * @param id            identifier that the caller gave to the call
     * @param route         name of the call's route
     * @param serviceClass  class of the call
     * @param precedence    order of the call within its class
     * @param deadlineNanos time by which its response must start, in nanoseconds
     */
    public RunningCall(
            String id, String route, ServiceClass serviceClass, Ticket.Precedence precedence, long deadlineNanos) {
        this.id = id;
        this.route = route;
        this.serviceClass = serviceClass;
        this.precedence = precedence;
        this.deadlineNanos = deadlineNanos;
    }

    /**
     * Records the end of a nested call.
     *
     * @param service  called service
     * @param accepted whether a server of the service accepted it
     */
    public synchronized void recordNestedCall(ServiceName service, boolean accepted) {
        nested.merge(service, accepted ? NestedCalls.ACCEPTED : NestedCalls.REFUSED, NestedCalls::plus);
    }

    /**
     * Returns the nested calls that have ended.
     *
     * @return numbers of calls by called service
     */
    synchronized Map<ServiceName, NestedCalls> nestedCalls() {
        return Map.copyOf(nested);
    }

    String id() {
        return id;
    }

    /**
     * Returns the name of the call's route.
     *
     * @return the name
     */
    public String route() {
        return route;
    }

    /**
     * Returns the class of the call.
     *
     * @return the class
     */
    public ServiceClass serviceClass() {
        return serviceClass;
    }

    /**
     * Returns the order of the call within its class.
     *
     * @return the order
     */
    public Ticket.Precedence precedence() {
        return precedence;
    }

    /**
     * Returns the time by which the response of the call must start.
     *
     * @return time in nanoseconds
     */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /**
     * Nested calls of one run to one service.
     *
     * @param accepted number of calls that a server accepted
     * @param refused  number of calls that were refused
     */
    record NestedCalls(int accepted, int refused) {

        static final NestedCalls ACCEPTED = new NestedCalls(1, 0);
        static final NestedCalls REFUSED = new NestedCalls(0, 1);

        NestedCalls plus(NestedCalls other) {
            return new NestedCalls(accepted + other.accepted, refused + other.refused);
        }
    }
}
