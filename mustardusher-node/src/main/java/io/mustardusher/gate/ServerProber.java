package io.mustardusher.gate;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import io.mustardusher.admission.Admission;
import io.mustardusher.budget.TokenBucket;
import io.mustardusher.instance.ConditionsTracker;
import io.mustardusher.server.ServerLink;
import io.mustardusher.time.Clock;

/**
 * Probes the backend server of a gate within a budget. A server that limits the rate of calls is not probed, because
 * probes are requests too.
 */
final class ServerProber {

    /**
     * Timeout of a probe that asks whether the server is cold, in nanoseconds. A server on a busy VM takes longer than
     * the usual timeout of probes.
     */
    private static final long STATEMENT_TIMEOUT_NANOS = 200 * Clock.NANOS_PER_MILLI;

    private final Admission admission;

    private final ConditionsTracker conditions;

    private final TokenBucket budget;

    /** Whether a probe is pending that asks whether the server is cold. */
    private final AtomicBoolean statementRequested = new AtomicBoolean();

    private volatile Function<String, String> healthPaths = service -> "/";

    /**
     * Creates a prober without a budget.
     *
     * @param clock      source of time
     * @param admission  knows whether the reported load is out of date
     * @param conditions conditions that the server stated
     */
    ServerProber(Clock clock, Admission admission, ConditionsTracker conditions) {
        this.admission = admission;
        this.conditions = conditions;
        this.budget = new TokenBucket(clock, 0, 0);
    }

    /**
     * Enables probes.
     *
     * @param paths     returns the health path of a service
     * @param perSecond maximum number of probes per second
     */
    void enable(Function<String, String> paths, double perSecond) {
        healthPaths = paths;
        budget.resize(perSecond, perSecond / 4);
    }

    /**
     * Returns whether the server should be probed for its load, and takes the probe from the budget.
     *
     * @return {@code true} if the reported load is out of date and the budget permits a probe
     */
    boolean mayProbe() {
        return !conditions.current().isLimited() && admission.isSlownessStale() && budget.tryTake();
    }

    /**
     * Sends a probe.
     *
     * @param link    link to the server
     * @param service service of the server
     * @return completes when the probe has been answered or has failed
     */
    CompletableFuture<Void> probe(ServerLink link, String service) {
        return link.probe(healthPaths.apply(service));
    }

    /**
     * Asks the server whether it is cold, unless that has been asked already. Without an answer, calls wait until the
     * bound on cold servers permits them, and each poll asks again.
     *
     * @param link    link to the server
     * @param service service of the server
     */
    void requestStatement(ServerLink link, String service) {
        if (conditions.current().isLimited() || statementRequested.get() || !budget.tryTake()) {
            return;
        }
        if (statementRequested.compareAndSet(false, true)) {
            link.probe(healthPaths.apply(service), STATEMENT_TIMEOUT_NANOS)
                    .whenComplete((answered, failure) -> statementRequested.set(false));
        }
    }
}
