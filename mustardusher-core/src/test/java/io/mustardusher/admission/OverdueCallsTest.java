package io.mustardusher.admission;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.Mobility;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: calls of a higher class keep arriving and take all slots. Guards against calls of a lower class that are
 * held until their callers give up, although it is known long before that they will not be served.
 */
class OverdueCallsTest {

    private static final long TARGET_MILLIS = 400;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final long SERVICE_MILLIS = 100;

    private final Clock.Manual clock = new Clock.Manual();
    private final Admission admission = Admission.withLatencyTargets(clock, 1);

    @BeforeEach
    void open() {
        admission.configure(1, 8, 0);
        admission.open();
    }

    @Test
    void rejectsStarvedCallLongBeforeItsDeadline() {
        Call starved = starve(new Ticket.Precedence(0, false, ""), 10);
        assertThat(starved.code).isEqualTo(ResultCode.OVERLOADED);
        assertThat(starved.rejectedMillis).isAtLeast(TARGET_MILLIS);
        assertThat(starved.rejectedMillis).isAtMost(DEADLINE_MILLIS * 2 / 3);
    }

    @Test
    void dispatchesLateCallIfSlotIsFreeInTime() {
        assertThat(starve(new Ticket.Precedence(0, false, ""), 5).dispatched).isTrue();
    }

    /** Guards against runs that fail because a nested call was given up while it could still be served. */
    @Test
    void keepsNestedCallUntilItsDeadline() {
        assertThat(starve(new Ticket.Precedence(0, true, ""), 10).code).isNull();
    }

    /**
     * Queues a call behind calls of a higher class.
     *
     * @param precedence precedence of the call
     * @param higher     number of calls of the higher class, one of which is always queued
     * @return the call, after they have ended
     */
    private Call starve(Ticket.Precedence precedence, int higher) {
        Call running = offer(ServiceClass.CRITICAL, Ticket.Precedence.NONE);
        Call starved = offer(ServiceClass.BACKGROUND, precedence);
        for (int i = 0; i < higher; i++) {
            Call next = offer(ServiceClass.CRITICAL, Ticket.Precedence.NONE);
            clock.advanceMillis(SERVICE_MILLIS);
            admission.release(running.ticket, CallEnd.ANSWERED);
            running = next;
        }
        clock.advanceMillis(SERVICE_MILLIS);
        admission.release(running.ticket, CallEnd.ANSWERED);
        return starved;
    }

    private Call offer(ServiceClass serviceClass, Ticket.Precedence precedence) {
        Call call = new Call(serviceClass, precedence, clock.nanoTime());
        admission.offer(call.ticket);
        return call;
    }

    private final class Call implements AdmissionListener {

        private final Ticket ticket;
        private final long arrivedNanos;
        private ResultCode code;
        private long rejectedMillis;
        private boolean dispatched;

        Call(ServiceClass serviceClass, Ticket.Precedence precedence, long now) {
            arrivedNanos = now;
            ticket = new Ticket(
                    "call",
                    serviceClass,
                    now + DEADLINE_MILLIS * Clock.NANOS_PER_MILLI,
                    false,
                    this,
                    new Ticket.LatencyTarget(now + TARGET_MILLIS * Clock.NANOS_PER_MILLI, Mobility.FIXED),
                    precedence);
        }

        @Override
        public void onAdmitted() {
            dispatched = true;
        }

        @Override
        public void onRejected(ResultCode reason) {
            code = reason;
            rejectedMillis = (clock.nanoTime() - arrivedNanos) / Clock.NANOS_PER_MILLI;
        }
    }
}
