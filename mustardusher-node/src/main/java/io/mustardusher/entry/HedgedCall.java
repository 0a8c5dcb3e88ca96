package io.mustardusher.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.linecorp.armeria.common.HttpResponse;
import io.mustardusher.budget.RatioBudget;

/**
 * A call that may run more than once, sent to a second server when the first takes much longer than expected. The first
 * answer is passed on and the other send is cancelled. After "The Tail at Scale" (Dean, Barroso, CACM 2013).
 */
final class HedgedCall {

    /** Expected times after which the second send is due. */
    private static final long FACTOR = 3;

    /** Shortest time before the second send, in nanoseconds. */
    private static final long SHORTEST_NANOS = 5_000_000L;

    /** Makes a send that ends when the given stage completes. */
    private final Function<CompletionStage<?>, RoutedCall> sends;

    /** Budget of second sends. */
    private final RatioBudget budget;

    private final ScheduledExecutorService timers;

    /** Cancels the first send. */
    private final CompletableFuture<Void> firstCancelled = new CompletableFuture<>();

    /** Cancels the second send. */
    private final CompletableFuture<Void> secondCancelled = new CompletableFuture<>();

    private final CompletableFuture<HttpResponse> answer = new CompletableFuture<>();

    /** Reply of the send that ended without an answer while the other goes on; {@code null} if none. */
    private Reply waiting;

    /** Sends under way. */
    private int underWay = 1;

    /**
     * Creates a call.
     *
     * @param sends     makes a send that ends when the given stage completes
     * @param budget    budget of second sends
     * @param timers    runs timers
     * @param cancelled completes when the caller has given up
     */
    HedgedCall(
            Function<CompletionStage<?>, RoutedCall> sends,
            RatioBudget budget,
            ScheduledExecutorService timers,
            CompletionStage<?> cancelled) {
        this.sends = sends;
        this.budget = budget;
        this.timers = timers;
        cancelled.thenRun(() -> {
            firstCancelled.complete(null);
            secondCancelled.complete(null);
        });
    }

    /**
     * Starts the first send.
     *
     * @return the answer
     */
    HttpResponse start() {
        RoutedCall first = sends.apply(firstCancelled);
        CompletableFuture<Reply> reply = first.begin();
        long delay = Math.max(SHORTEST_NANOS, FACTOR * first.expectedNanos());
        ScheduledFuture<?> due = timers.schedule(() -> hedge(first), delay, TimeUnit.NANOSECONDS);
        reply.thenAccept(ended -> {
            due.cancel(false);
            ended(ended, secondCancelled);
        });
        return HttpResponse.of(answer);
    }

    /**
     * Starts the second send, unless the call has ended or the budget is spent.
     *
     * @param first the first send
     */
    private void hedge(RoutedCall first) {
        synchronized (this) {
            boolean over = underWay == 0 || firstCancelled.isDone();
            if (over || !budget.trySpend()) {
                return;
            }
            underWay++;
        }
        RoutedCall second = sends.apply(secondCancelled);
        second.avoid(first);
        second.begin().thenAccept(ended -> ended(ended, firstCancelled));
    }

    /**
     * Ends a send.
     *
     * @param reply what it brought
     * @param other cancels the other send
     */
    private void ended(Reply reply, CompletableFuture<Void> other) {
        Reply passed;
        synchronized (this) {
            underWay--;
            if (!reply.isAnswer() && underWay > 0) {
                waiting = reply;
                return;
            }
            passed = reply.isAnswer() || waiting == null ? reply : reply.orLessCertain(waiting);
        }
        if (answer.complete(passed.response())) {
            other.complete(null);
        } else {
            passed.response().abort();
        }
    }
}
