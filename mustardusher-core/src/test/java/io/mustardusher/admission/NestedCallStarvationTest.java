package io.mustardusher.admission;

import java.util.ArrayList;
import java.util.List;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Pattern of load: short calls of running requests meet long requests of their own rank at one server. */
class NestedCallStarvationTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final Admission admission = Admission.byTargets(clock, 1);
    private final List<String> begun = new ArrayList<>();

    @BeforeEach
    void open() {
        admission.configure(1, 8, 0);
        admission.open();
    }

    @Test
    void nestedCallGoesBeforeWhatHasMoreTime() {
        Call running = offer("pull", 600, 1_200);
        Call pull = offer("pull", 600, 1_200);
        Call nested = offer("nested", 100, 250);
        clock.advanceMillis(20);
        admission.release(running.ticket, CallEnd.ANSWERED);
        admission.release(nested.ticket, CallEnd.ANSWERED);
        assertThat(begun).containsExactly("pull", "nested", "pull").inOrder();
        assertThat(pull.code).isNull();
    }

    /** The long requests' service time says nothing of the short calls: a deadline of 250 ms is enough for 20 ms of work. */
    @Test
    void longRequestsDoNotMakeAShortDeadlineHopeless() {
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
        assertThat(begun.get(begun.size() - 1)).isEqualTo("nested");
    }

    @Test
    void callThatIsLateAlreadyWaitsForThoseThatAreNot() {
        Call running = offer("pull", 600, 1_200);
        Call late = offer("late", 10, 1_200);
        Call fresh = offer("fresh", 500, 1_200);
        clock.advanceMillis(100);
        admission.release(running.ticket, CallEnd.ANSWERED);
        admission.release(fresh.ticket, CallEnd.ANSWERED);
        assertThat(begun).containsExactly("pull", "fresh", "late").inOrder();
        assertThat(late.code).isNull();
    }

    private Call offer(String kind, long targetMillis, long deadlineMillis) {
        Call call = new Call(kind, clock.nanoTime(), targetMillis, deadlineMillis);
        admission.offer(call.ticket);
        return call;
    }

    private final class Call implements Waiter {

        private final String kind;
        private final Ticket ticket;
        private ResultCode code;

        Call(String kind, long now, long targetMillis, long deadlineMillis) {
            this.kind = kind;
            Ticket.Wish wish = new Ticket.Wish(now + targetMillis * Clock.NANOS_PER_MILLI, false);
            ticket = new Ticket(
                    kind, ServiceClass.STANDARD, now + deadlineMillis * Clock.NANOS_PER_MILLI, false, this, wish);
        }

        @Override
        public void admitted() {
            begun.add(kind);
        }

        @Override
        public void refused(ResultCode why) {
            code = why;
        }
    }
}
