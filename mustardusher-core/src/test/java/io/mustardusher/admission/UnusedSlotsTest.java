package io.mustardusher.admission;

import java.util.PriorityQueue;
import java.util.Random;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.Mobility;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: more calls than a server can run, on servers that take longer for each call when they are nearly full,
 * and on servers that do not.
 */
class UnusedSlotsTest {

    private static final int BASELINE_PERCENT = 100;
    private static final long SECOND_NANOS = 1_000 * Clock.NANOS_PER_MILLI;
    private static final double USABLE_FRACTION = 0.8;

    /** Fraction of the slots from which the crowded servers of these tests take longer for each call. */
    private static final double KNEE = 0.8;

    private static final double KNEE_FACTOR = 1.7;

    /** Standard deviation of the logarithm of the service times. */
    private static final double SPREAD = 0.3;

    private final Clock.Manual clock = new Clock.Manual();
    private final Admission admission = Admission.withLatencyTargets(clock, USABLE_FRACTION);
    private final PriorityQueue<RunningCall> running = new PriorityQueue<>();
    private final Random random = new Random(11);
    private int dispatched;

    // Guards against slots left idle on a server that is not slowed by using them, so that callers are rejected.
    @ParameterizedTest
    @CsvSource({"6, 150", "6, 300", "3, 150", "9, 75", "17, 150"})
    void usesAllSlotsOfServerThatDoesNotSlowWhenFull(int slots, double serviceMillis) {
        saturate(slots, serviceMillis, 1, 5);
        int before = dispatched;
        saturate(slots, serviceMillis, 1, 10);
        assertThat(admission.load().limit()).isEqualTo(slots);
        double possible = 10 * slots * 1_000 / meanMillis(serviceMillis);
        assertThat((dispatched - before) / possible).isAtLeast(0.9);
    }

    // Guards against a gate that fills servers which then take longer for each call.
    @ParameterizedTest
    @CsvSource({"10, 150", "10, 300", "17, 75", "20, 150"})
    void keepsSlotsFreeOnServerThatSlowsWhenNearlyFull(int slots, double serviceMillis) {
        saturate(slots, serviceMillis, KNEE_FACTOR, 20);
        double possible = 20 * (int) (slots * KNEE) * 1_000 / meanMillis(serviceMillis);
        assertThat(dispatched / possible).isAtLeast(0.9);
    }

    @Test
    void keepsSlotsFreeUntilServiceTimesAreKnown() {
        admission.configure(10, 2, 0);
        admission.open();
        offer(10, 150, 1);
        assertThat(dispatched).isEqualTo(8);
    }

    private void saturate(int slots, double serviceMillis, double kneeFactor, int seconds) {
        admission.configure(slots, 2, 0);
        admission.open();
        long endNanos = clock.nanoTime() + seconds * SECOND_NANOS;
        while (clock.nanoTime() - endNanos < 0) {
            admission.updateServerLoad(running.size(), BASELINE_PERCENT);
            if (admission.load().queued() == 0) {
                offer(slots, serviceMillis, kneeFactor);
            }
            clock.advanceMillis(1);
            while (!running.isEmpty() && running.peek().endNanos <= clock.nanoTime()) {
                admission.release(running.poll().ticket, CallEnd.ANSWERED);
            }
        }
    }

    private void offer(int count, double serviceMillis, double kneeFactor) {
        for (int i = 0; i < count; i++) {
            RunningCall call = new RunningCall(serviceMillis, kneeFactor, count);
            admission.offer(call.ticket);
        }
    }

    private static double meanMillis(double medianMillis) {
        return medianMillis * Math.exp(SPREAD * SPREAD / 2);
    }

    private final class RunningCall implements AdmissionListener, Comparable<RunningCall> {

        private final Ticket ticket;
        private final double serviceMillis;
        private final double kneeFactor;
        private final int slots;
        private long endNanos;

        RunningCall(double serviceMillis, double kneeFactor, int slots) {
            this.serviceMillis = serviceMillis;
            this.kneeFactor = kneeFactor;
            this.slots = slots;
            long now = clock.nanoTime();
            Ticket.LatencyTarget target = new Ticket.LatencyTarget(now + 30 * SECOND_NANOS, Mobility.FIXED);
            ticket = new Ticket("price", ServiceClass.STANDARD, now + 60 * SECOND_NANOS, false, this, target);
        }

        @Override
        public void onAdmitted() {
            dispatched++;
            double factor = running.size() + 1 > slots * KNEE ? kneeFactor : 1;
            double millis = serviceMillis * factor * Math.exp(SPREAD * random.nextGaussian());
            endNanos = clock.nanoTime() + (long) (millis * Clock.NANOS_PER_MILLI);
            running.add(this);
        }

        @Override
        public void onRejected(ResultCode code) {
            throw new AssertionError("rejected as " + code);
        }

        @Override
        public int compareTo(RunningCall other) {
            return Long.compare(endNanos, other.endNanos);
        }
    }
}
