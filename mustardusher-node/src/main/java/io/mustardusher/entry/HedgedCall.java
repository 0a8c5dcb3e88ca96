package io.mustardusher.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.linecorp.armeria.common.HttpResponse;
import io.mustardusher.budget.RatioBudget;
import io.mustardusher.result.Outcome;
import io.mustardusher.routing.ExcludedServers;

/**
 * An idempotent call that is sent to a second server when the first takes much longer than expected. The first answer
 * is returned and the other attempt is cancelled, as described in "The Tail at Scale" (Dean, Barroso, CACM 2013). A
 * hedge that is rejected without running is replaced by a later one, within the budget.
 */
final class HedgedCall {

    /** Multiple of the expected latency after which the hedge is sent. */
    private static final long HEDGE_DELAY_FACTOR = 3;

    /** Minimum delay before the hedge is sent, in nanoseconds. */
    private static final long MIN_HEDGE_DELAY_NANOS = 5_000_000L;

    /** Creates an attempt that is cancelled when the given stage completes. */
    private final Function<CompletionStage<?>, Attempt> attempts;

    /** Budget of hedges. */
    private final RatioBudget budget;

    private final ScheduledExecutorService timers;

    /** Cancels the first attempt. */
    private final CompletableFuture<Void> firstCancelled = new CompletableFuture<>();

    /** Cancels the hedge. */
    private final CompletableFuture<Void> secondCancelled = new CompletableFuture<>();

    private final CompletableFuture<HttpResponse> answer = new CompletableFuture<>();

    /** Reply of an attempt that ended without an answer while the other is pending; {@code null} if there is none. */
    private Reply unanswered;

    /** Attempts that have not ended. */
    private int pendingAttempts = 1;

    /**
     * Creates a hedged call.
     *
     * @param attempts  creates an attempt that is cancelled when the given stage completes
     * @param budget    budget of hedges
     * @param timers    executor of timers
     * @param cancelled completes when the caller has cancelled the call
     */
    HedgedCall(
            Function<CompletionStage<?>, Attempt> attempts,
            RatioBudget budget,
            ScheduledExecutorService timers,
            CompletionStage<?> cancelled) {
        this.attempts = attempts;
        this.budget = budget;
        this.timers = timers;
        cancelled.thenRun(() -> {
            firstCancelled.complete(null);
            secondCancelled.complete(null);
        });
    }

    /**
     * Starts the first attempt and schedules the hedge.
     *
     * @return response for the caller
     */
    HttpResponse start() {
        Attempt first = attempts.apply(firstCancelled);
        CompletableFuture<Reply> reply = first.startForReply();
        scheduleHedge(first, Math.max(MIN_HEDGE_DELAY_NANOS, HEDGE_DELAY_FACTOR * first.expectedNanos()));
        reply.thenAccept(firstReply -> onReply(firstReply, secondCancelled));
        return HttpResponse.of(answer);
    }

    private void scheduleHedge(Attempt first, long delayNanos) {
        ScheduledFuture<?> timer = timers.schedule(() -> hedge(first, delayNanos), delayNanos, TimeUnit.NANOSECONDS);
        answer.whenComplete((response, failure) -> timer.cancel(false));
    }

    /**
     * Starts the hedge, unless the call has ended or the budget is spent.
     *
     * @param first      the first attempt
     * @param delayNanos delay after which the hedge was due, in nanoseconds
     */
    private void hedge(Attempt first, long delayNanos) {
        synchronized (this) {
            boolean ended = pendingAttempts == 0 || firstCancelled.isDone();
            if (ended || !budget.trySpend()) {
                return;
            }
            pendingAttempts++;
        }
        Attempt second = attempts.apply(secondCancelled);
        second.excludeServersOf(first);
        second.startForReply().thenAccept(secondReply -> {
            boolean rejected = secondReply.outcome() == Outcome.NOT_RUN;
            if (rejected) {
                budget.refund();
            }
            onReply(secondReply, firstCancelled);
            // No server has run the rejected hedge, so a later one can still be faster than the first attempt. The
            // delay grows, because the node that rejected it may be behind with its work.
            if (rejected && !answer.isDone()) {
                scheduleHedge(first, 2 * delayNanos);
            }
        });
    }

    /**
     * Handles the end of an attempt: completes the call, unless the attempt brought no answer and the other is pending.
     *
     * @param reply       reply of the attempt
     * @param cancelOther cancels the other attempt
     */
    private void onReply(Reply reply, CompletableFuture<Void> cancelOther) {
        Reply selected;
        synchronized (this) {
            pendingAttempts--;
            if (!reply.isServerAnswer() && pendingAttempts > 0) {
                unanswered = reply;
                return;
            }
            selected = reply.isServerAnswer() || unanswered == null ? reply : reply.preferPossiblyRun(unanswered);
        }
        if (!answer.isDone() && answer.complete(selected.passOn())) {
            cancelOther.complete(null);
        } else {
            selected.response().abort();
        }
    }

    /** One of the attempts of a hedged call. */
    interface Attempt {

        /**
         * Starts the attempt.
         *
         * @return the reply; never fails
         */
        CompletableFuture<Reply> startForReply();

        /**
         * Returns the estimated time to an answer from the server that was chosen last.
         *
         * @return time in nanoseconds; 0 before the first choice
         */
        long expectedNanos();

        /**
         * Excludes the servers that another attempt of the same call has tried.
         *
         * @param other the other attempt
         */
        void excludeServersOf(Attempt other);

        /**
         * Returns the servers that this attempt has tried.
         *
         * @return the servers
         */
        ExcludedServers triedServers();
    }
}
