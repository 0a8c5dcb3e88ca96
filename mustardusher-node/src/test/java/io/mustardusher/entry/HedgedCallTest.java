package io.mustardusher.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import io.mustardusher.budget.RatioBudget;
import io.mustardusher.call.Problem;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.ExcludedServers;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: the first server is slow, and the node of the second one rejects calls because it is overloaded. */
class HedgedCallTest {

    private static final long EXPECTED_NANOS = 10 * Clock.NANOS_PER_MILLI;

    /** Delay after which a call is hedged: three times its expected duration. */
    private static final long HEDGE_DELAY_NANOS = 3 * EXPECTED_NANOS;

    private final ManualTimers timers = new ManualTimers();
    private final List<SimulatedAttempt> attempts = new ArrayList<>();
    private final RatioBudget budget = new RatioBudget();
    private final CompletableFuture<Void> cancelled = new CompletableFuture<>();

    @Test
    void returnsAnswerOfHedgeWhenFirstServerIsSlow() {
        CompletableFuture<HttpStatus> status = start();
        timers.advance(HEDGE_DELAY_NANOS - 1);
        assertThat(attempts).hasSize(1);
        timers.advance(1);
        attempts.get(1).answer();
        assertThat(status.join()).isEqualTo(HttpStatus.OK);
        assertThat(attempts.get(0).cancelled.toCompletableFuture().isDone()).isTrue();
    }

    @Test
    void replacesRejectedHedge() {
        CompletableFuture<HttpStatus> status = start();
        timers.advance(HEDGE_DELAY_NANOS);
        attempts.get(1).reject();
        timers.advance(2 * HEDGE_DELAY_NANOS);
        assertThat(attempts).hasSize(3);
        attempts.get(2).answer();
        assertThat(status.join()).isEqualTo(HttpStatus.OK);
        assertThat(attempts.get(0).cancelled.toCompletableFuture().isDone()).isTrue();
    }

    /** Guards against a call whose rejected hedges keep nodes busy that are behind with their work. */
    @Test
    void replacesRejectedHedgesAfterGrowingDelays() {
        CompletableFuture<HttpStatus> status = start();
        int replaced = 3;
        for (int i = 1; i <= replaced; i++) {
            timers.advance(HEDGE_DELAY_NANOS << (i - 1));
            attempts.get(i).reject();
        }
        timers.advance((HEDGE_DELAY_NANOS << replaced) - 1);
        assertThat(attempts).hasSize(1 + replaced);
        attempts.get(0).answer();
        assertThat(status.join()).isEqualTo(HttpStatus.OK);
    }

    /** Guards against calls that wait for a slow server because hedges that no server received have used the budget. */
    @Test
    void rejectedHedgesLeaveBudgetToOtherCalls() {
        for (int i = 0; i < 30; i++) {
            start();
            timers.advance(HEDGE_DELAY_NANOS);
            attempts.get(1).reject();
            attempts.get(0).answer();
            attempts.clear();
        }
        returnsAnswerOfHedgeWhenFirstServerIsSlow();
    }

    /** Guards against more hedges at servers than the budget allows. */
    @Test
    void sendsHedgesThatServersReceiveOnlyWithinBudget() {
        int allowed = 3;
        for (int i = 0; i < allowed; i++) {
            returnsAnswerOfHedgeWhenFirstServerIsSlow();
            attempts.clear();
        }
        CompletableFuture<HttpStatus> status = start();
        timers.advance(10 * HEDGE_DELAY_NANOS);
        assertThat(attempts).hasSize(1);
        attempts.get(0).answer();
        assertThat(status.join()).isEqualTo(HttpStatus.OK);
    }

    @Test
    void sendsNoHedgeAfterCallHasEnded() {
        CompletableFuture<HttpStatus> status = start();
        timers.advance(HEDGE_DELAY_NANOS);
        attempts.get(1).reject();
        attempts.get(0).answer();
        assertThat(status.join()).isEqualTo(HttpStatus.OK);
        timers.advance(10 * HEDGE_DELAY_NANOS);
        assertThat(attempts).hasSize(2);
    }

    private CompletableFuture<HttpStatus> start() {
        HedgedCall call = new HedgedCall(this::createAttempt, budget, timers, cancelled);
        return call.start().aggregate().thenApply(answer -> answer.status());
    }

    private SimulatedAttempt createAttempt(CompletionStage<?> stage) {
        SimulatedAttempt attempt = new SimulatedAttempt(stage);
        attempts.add(attempt);
        return attempt;
    }

    private static final class SimulatedAttempt implements HedgedCall.Attempt {

        private final CompletionStage<?> cancelled;
        private final CompletableFuture<Reply> reply = new CompletableFuture<>();
        private final ExcludedServers tried = new ExcludedServers();

        SimulatedAttempt(CompletionStage<?> cancelled) {
            this.cancelled = cancelled;
        }

        void answer() {
            reply.complete(new Reply(HttpResponse.of(HttpStatus.OK), Outcome.RAN));
        }

        void reject() {
            reply.complete(new Reply(Problem.response(ResultCode.OVERLOADED, "delayed"), Outcome.NOT_RUN));
        }

        @Override
        public CompletableFuture<Reply> startForReply() {
            return reply;
        }

        @Override
        public long expectedNanos() {
            return EXPECTED_NANOS;
        }

        @Override
        public void excludeServersOf(HedgedCall.Attempt other) {
            tried.addAll(other.triedServers());
        }

        @Override
        public ExcludedServers triedServers() {
            return tried;
        }
    }
}
