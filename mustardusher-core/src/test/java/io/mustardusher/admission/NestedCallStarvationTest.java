package io.mustardusher.admission;

import java.util.ArrayList;
import java.util.List;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.Mobility;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: short nested calls of running requests compete with long requests of the same class for one server.
 * Guards against nested calls that miss their deadlines because they are queued behind the long requests, or that are
 * rejected because of the service times of the long requests.
 */
class NestedCallStarvationTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final Admission admission = Admission.withLatencyTargets(clock, 1);
    private final List<String> dispatched = new ArrayList<>();

    @BeforeEach
    void open() {
        admission.configure(1, 8, 0);
        admission.open();
    }

    @Test
    void dispatchesNestedCallBeforeCallWithLaterTarget() {
        Call running = offer("pull", 600, 1_200);
        Call pull = offer("pull", 600, 1_200);
        Call nested = offer("nested", 100, 250);
        clock.advanceMillis(20);
        admission.release(running.ticket, CallEnd.ANSWERED);
        admission.release(nested.ticket, CallEnd.ANSWERED);
        assertThat(dispatched).containsExactly("pull", "nested", "pull").inOrder();
        assertThat(pull.code).isNull();
    }

    /** Service times are kept by kind: requests of 300 ms must not rule out a deadline of 250 ms for 20 ms of work. */
    @Test
    void acceptsShortDeadlineDespiteLongServiceTimesOfOtherCalls() {
        for (int i = 0; i < 20; i++) {
            Call nested = offer("nested", 100, 250);
            clock.advanceMillis(20);
            admission.release(nested.ticket, CallEnd.ANSWERED);
            Call pull = offer("pull", 600, 1_200);
            clock.advanceMillis(300);
            admission.release(pull.ticket, CallEnd.ANSWERED);
        }
        Call nested = offer("nested", 100, 250);
        assertThat(nested.code).isNull();
        assertThat(dispatched.get(dispatched.size() - 1)).isEqualTo("nested");
    }

    @Test
    void dispatchesCallsThatMissTheirTargetLast() {
        Call running = offer("pull", 600, 1_200);
        Call late = offer("late", 10, 1_200);
        Call fresh = offer("fresh", 500, 1_200);
        clock.advanceMillis(100);
        admission.release(running.ticket, CallEnd.ANSWERED);
        admission.release(fresh.ticket, CallEnd.ANSWERED);
        assertThat(dispatched).containsExactly("pull", "fresh", "late").inOrder();
        assertThat(late.code).isNull();
    }

    private Call offer(String kind, long targetMillis, long deadlineMillis) {
        Call call = new Call(kind, clock.nanoTime(), targetMillis, deadlineMillis);
        admission.offer(call.ticket);
        return call;
    }

    private final class Call implements AdmissionListener {

        private final String kind;
        private final Ticket ticket;
        private ResultCode code;

        Call(String kind, long now, long targetMillis, long deadlineMillis) {
            this.kind = kind;
            Ticket.LatencyTarget target =
                    new Ticket.LatencyTarget(now + targetMillis * Clock.NANOS_PER_MILLI, Mobility.FIXED);
            ticket = new Ticket(
                    kind, ServiceClass.STANDARD, now + deadlineMillis * Clock.NANOS_PER_MILLI, false, this, target);
        }

        @Override
        public void onAdmitted() {
            dispatched.add(kind);
        }

        @Override
        public void onRejected(ResultCode reason) {
            code = reason;
        }
    }
}
