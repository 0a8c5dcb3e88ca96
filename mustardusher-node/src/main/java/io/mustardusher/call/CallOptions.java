package io.mustardusher.call;

import java.util.Optional;

import io.mustardusher.account.Account;
import io.mustardusher.nested.RunningCall;

/**
 * Options of a call that do not come from its catalogue entry.
 *
 * @param id                 identifier of the call in logs; a dash if the caller gave none
 * @param maxReachedAttempts maximum number of attempts that may reach a backend server
 * @param targetLatencyNanos target latency, in nanoseconds: an answer after it is late but still of use
 * @param account            client account of the call, if it has one
 * @param routePriority      priority of the route, which orders calls of one class; 0 is the highest, and the only one
 *                           where there are no accounts
 * @param parent             call at the backend server beside this node that made the call, if it is a nested call
 */
public record CallOptions(
        String id,
        int maxReachedAttempts,
        long targetLatencyNanos,
        Optional<Account> account,
        int routePriority,
        Optional<RunningCall> parent) {

    /** Options of a call that sets none: no limit on attempts and no target latency. */
    public static final CallOptions NONE = new CallOptions("-", Integer.MAX_VALUE, Long.MAX_VALUE, Optional.empty(), 0);

    /**
     * Creates the options of a call that is not known to be a nested call.
     *
     * @param id                 identifier of the call in logs; a dash if the caller gave none
     * @param maxReachedAttempts maximum number of attempts that may reach a backend server
     * @param targetLatencyNanos target latency, in nanoseconds
     * @param account            client account of the call, if it has one
     * @param routePriority      priority of the route, which orders calls of one class
     */
    public CallOptions(
            String id, int maxReachedAttempts, long targetLatencyNanos, Optional<Account> account, int routePriority) {
        this(id, maxReachedAttempts, targetLatencyNanos, account, routePriority, Optional.empty());
    }

    /**
     * Returns these options for a nested call.
     *
     * @param call call that made the nested call
     * @return the options
     */
    CallOptions withParent(RunningCall call) {
        return new CallOptions(id, maxReachedAttempts, targetLatencyNanos, account, routePriority, Optional.of(call));
    }
}
