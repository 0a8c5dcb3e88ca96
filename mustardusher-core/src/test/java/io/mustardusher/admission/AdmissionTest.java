package io.mustardusher.admission;

import java.util.ArrayList;
import java.util.List;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class AdmissionTest {

    private static final long SECOND = 1_000 * Clock.NANOS_PER_MILLI;

    private final Clock.Manual clock = new Clock.Manual();
    private final Admission admission = new Admission(clock);

    @BeforeEach
    void open() {
        admission.configure(2, 2, 0);
        admission.open();
    }

    @Test
    void slotsAreNeverExceeded() {
        List<Probe> calls = offer(6, "a", ServiceClass.STANDARD);
        assertThat(calls.stream().filter(call -> call.admitted).count()).isEqualTo(2);
        assertThat(admission.load().queued()).isEqualTo(4);
    }

    @Test
    void closedGateRefusesAtOnceAndLetsOthersEnd() {
        Probe inside = offer("a", ServiceClass.STANDARD, SECOND);
        admission.close();
        Probe late = offer("a", ServiceClass.STANDARD, SECOND);
        assertThat(late.code).isEqualTo(ResultCode.DRAINING);
        assertThat(inside.code).isNull();
        assertThat(admission.inside()).isEqualTo(1);
    }

    @Test
    void floodOfOneOwnerDoesNotStarveAnother() {
        List<Probe> flood = offer(6, "flood", ServiceClass.STANDARD);
        Probe other = offer("other", ServiceClass.STANDARD, SECOND);
        admission.release(flood.get(0).ticket, CallEnd.ANSWERED);
        assertThat(other.admitted).isTrue();
    }

    @Test
    void fullQueueGivesUpTheLongestQueueOfTheLowestClass() {
        offer(2, "a", ServiceClass.STANDARD);
        List<Probe> background = offer(4, "b", ServiceClass.BACKGROUND);
        Probe critical = offer("c", ServiceClass.CRITICAL, SECOND);
        assertThat(background.get(3).code).isEqualTo(ResultCode.OVERLOADED);
        assertThat(critical.code).isNull();
    }

    @Test
    void fullQueueRefusesANewcomerOfTheLowestClass() {
        offer(6, "a", ServiceClass.CRITICAL);
        assertThat(offer("b", ServiceClass.BACKGROUND, SECOND).code).isEqualTo(ResultCode.OVERLOADED);
    }

    @Test
    void callThatCannotMakeItsDeadlineIsRefusedAtOnce() {
        Probe first = offer("a", ServiceClass.STANDARD, SECOND);
        clock.advanceMillis(400);
        admission.release(first.ticket, CallEnd.ANSWERED);
        offer(2, "a", ServiceClass.STANDARD);
        Probe hopeless = offer("a", ServiceClass.STANDARD, SECOND / 2);
        assertThat(hopeless.code).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
    }

    @Test
    void headOfTheQueueThatMissedItsDeadlineGivesWay() {
        List<Probe> running = offer(2, "a", ServiceClass.STANDARD);
        Probe head = offer("a", ServiceClass.STANDARD, SECOND / 10);
        Probe behind = offer("a", ServiceClass.STANDARD, SECOND);
        clock.advanceMillis(200);
        admission.release(running.get(0).ticket, CallEnd.ANSWERED);
        assertThat(head.code).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
        assertThat(behind.admitted).isTrue();
    }

    @Test
    void idleServerIsTriedHoweverSlowItWas() {
        Probe slow = offer("a", ServiceClass.STANDARD, 10 * SECOND);
        clock.advanceMillis(5_000);
        admission.release(slow.ticket, CallEnd.ANSWERED);
        assertThat(offer("a", ServiceClass.STANDARD, SECOND).admitted).isTrue();
    }

    @Test
    void limitFallsWhenTheServerShedsAndRisesAgain() {
        admission.configure(20, 2, 0);
        for (int i = 0; i < 10; i++) {
            Probe call = offer("a", ServiceClass.STANDARD, SECOND);
            clock.advanceMillis(1);
            admission.release(call.ticket, CallEnd.OVERLOADED);
        }
        int fallen = admission.load().limit();
        assertThat(fallen).isLessThan(10);
        for (int i = 0; i < 300; i++) {
            Probe call = offer("a", ServiceClass.STANDARD, SECOND);
            admission.release(call.ticket, CallEnd.ANSWERED);
        }
        assertThat(admission.load().limit()).isEqualTo(20);
    }

    @Test
    void shareOfTheServiceLimitHolds() {
        admission.configure(2, 0, 1);
        offer("a", ServiceClass.STANDARD, SECOND);
        assertThat(offer("a", ServiceClass.STANDARD, SECOND).code).isEqualTo(ResultCode.LIMIT_REACHED);
    }

    @Test
    void suspectRunsAlone() {
        Probe before = offer("a", ServiceClass.STANDARD, SECOND);
        Probe suspect = offer(new Probe("a", ServiceClass.STANDARD, clock.nanoTime() + SECOND, true));
        Probe after = offer("a", ServiceClass.STANDARD, SECOND);
        assertThat(suspect.admitted).isFalse();
        admission.release(before.ticket, CallEnd.ANSWERED);
        assertThat(suspect.admitted).isTrue();
        assertThat(after.admitted).isFalse();
        admission.release(suspect.ticket, CallEnd.ANSWERED);
        assertThat(after.admitted).isTrue();
    }

    @Test
    void cancelledCallNeverRuns() {
        List<Probe> running = offer(2, "a", ServiceClass.STANDARD);
        Probe waiting = offer("a", ServiceClass.STANDARD, SECOND);
        assertThat(admission.cancel(waiting.ticket)).isTrue();
        running.forEach(call -> admission.release(call.ticket, CallEnd.ANSWERED));
        assertThat(waiting.admitted).isFalse();
        assertThat(admission.cancel(running.get(0).ticket)).isFalse();
    }

    private List<Probe> offer(int count, String owner, ServiceClass serviceClass) {
        List<Probe> calls = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            calls.add(offer(owner, serviceClass, SECOND));
        }
        return calls;
    }

    private Probe offer(String owner, ServiceClass serviceClass, long leftNanos) {
        return offer(new Probe(owner, serviceClass, clock.nanoTime() + leftNanos, false));
    }

    private Probe offer(Probe call) {
        admission.offer(call.ticket);
        return call;
    }

    private static final class Probe implements Waiter {

        private final Ticket ticket;
        private boolean admitted;
        private ResultCode code;

        Probe(String owner, ServiceClass serviceClass, long deadlineNanos, boolean alone) {
            ticket = new Ticket(owner, serviceClass, deadlineNanos, alone, this);
        }

        @Override
        public void admitted() {
            admitted = true;
        }

        @Override
        public void refused(ResultCode why) {
            code = why;
        }
    }
}
