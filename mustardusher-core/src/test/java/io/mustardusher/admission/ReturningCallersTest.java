package io.mustardusher.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: all nodes return after a loss of power, and the callers who were waiting return together. Guards against
 * a gate that has measured no service time and queues calls that will miss their targets on a cold server, or that asks
 * all refused callers to return at the same time.
 */
class ReturningCallersTest {

    private static final int SLOTS = 4;
    private static final int CALLERS = 20;
    private static final long TARGET_MILLIS = 800;

    /** Service time on a cold server: twice the usual one. */
    private static final long COLD_MILLIS = 362;

    private final Clock.Manual clock = new Clock.Manual();
    private final Admission admission = Admission.withLatencyTargets(clock, 1);
    private final List<TestCall> running = new ArrayList<>();
    private final List<Long> answeredMillis = new ArrayList<>();
    private final List<Long> delaysMillis = new ArrayList<>();

    @BeforeEach
    void callersReturn() {
        admission.configure(SLOTS, 2, 0);
        admission.open();
        for (int i = 0; i < CALLERS; i++) {
            admission.offer(new TestCall().ticket);
        }
    }

    @Test
    void acceptsWhatColdServerAnswersInTime() {
        assertThat(running).hasSize(SLOTS);
        while (!running.isEmpty()) {
            clock.advanceMillis(COLD_MILLIS);
            List.copyOf(running).forEach(TestCall::answer);
        }
        assertThat(answeredMillis).hasSize(2 * SLOTS);
        answeredMillis.forEach(millis -> assertThat(millis).isAtMost(TARGET_MILLIS));
    }

    @Test
    void refusedCallersReturnOverTheTimeInWhichThereIsRoom() {
        long perCall = TARGET_MILLIS / 2 / SLOTS;
        assertThat(delaysMillis)
                .containsExactlyElementsIn(LongStream.rangeClosed(1, CALLERS - 2 * SLOTS)
                        .mapToObj(number -> number * perCall)
                        .toList())
                .inOrder();
    }

    private final class TestCall implements AdmissionListener {

        private final Ticket ticket = new Ticket(
                "route",
                ServiceClass.STANDARD,
                3_000 * Clock.NANOS_PER_MILLI,
                false,
                this,
                new Ticket.LatencyTarget(TARGET_MILLIS * Clock.NANOS_PER_MILLI, false));

        @Override
        public void onAdmitted() {
            running.add(this);
        }

        @Override
        public void onRejected(ResultCode code) {
            assertThat(code).isEqualTo(ResultCode.OVERLOADED);
            long nanos = admission.roomDelayNanos("route", TARGET_MILLIS * Clock.NANOS_PER_MILLI);
            delaysMillis.add(nanos / Clock.NANOS_PER_MILLI);
        }

        void answer() {
            running.remove(this);
            answeredMillis.add(clock.nanoTime() / Clock.NANOS_PER_MILLI);
            admission.release(ticket, CallEnd.ANSWERED);
        }
    }
}
