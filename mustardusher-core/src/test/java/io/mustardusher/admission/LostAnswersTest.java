package io.mustardusher.admission;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: a server runs calls whose answers are lost, or is full and never answers. The gate learns of it at the
 * deadline only, and must neither keep the slots of lost calls empty until then nor fill a full server further. A server
 * with free slots that refuses calls is not full either.
 */
class LostAnswersTest {

    private static final int SLOTS = 10;
    private static final int BASELINE_PERCENT = 100;
    private static final long DEADLINE_NANOS = 3_000 * Clock.NANOS_PER_MILLI;

    private final Clock.Manual clock = new Clock.Manual();
    private final Admission admission = Admission.withLatencyTargets(clock, 1);

    LostAnswersTest() {
        admission.configure(SLOTS, 2, 0);
        admission.open();
    }

    @Test
    void dispatchesIntoSlotsOfLostCalls() {
        TestCall[] calls = offer(SLOTS + 4);
        assertThat(calls[SLOTS].admitted).isFalse();
        admission.updateServerLoad(SLOTS - 4, BASELINE_PERCENT);
        // One call may have been answered by the message that carries the report.
        assertThat(calls[SLOTS + 2].admitted).isTrue();
        assertThat(calls[SLOTS + 3].admitted).isFalse();
    }

    @Test
    void doesNotDispatchBeyondSlotsThatServerReportsAsBusy() {
        TestCall[] calls = offer(SLOTS + 1);
        admission.updateServerLoad(SLOTS, BASELINE_PERCENT);
        assertThat(calls[SLOTS].admitted).isFalse();
    }

    @Test
    void ignoresOldReport() {
        offer(SLOTS);
        admission.updateServerLoad(SLOTS - 4, BASELINE_PERCENT);
        clock.advanceMillis(1_000);
        assertThat(offer(1)[0].admitted).isFalse();
    }

    @Test
    void keepsLimitWhenServerWithFreeSlotsDoesNotAnswer() {
        TestCall[] calls = offer(4);
        admission.updateServerLoad(3, BASELINE_PERCENT);
        clock.advanceMillis(3_000);
        admission.release(calls[0].ticket, CallEnd.UNANSWERED);
        assertThat(admission.load().limit()).isEqualTo(SLOTS);
    }

    @Test
    void reducesLimitWhenFullServerDoesNotAnswer() {
        TestCall[] calls = offer(SLOTS);
        admission.updateServerLoad(SLOTS, BASELINE_PERCENT);
        clock.advanceMillis(3_000);
        admission.release(calls[0].ticket, CallEnd.UNANSWERED);
        assertThat(admission.load().limit()).isLessThan(SLOTS);
    }

    /** Guards against a gate that uses few of the slots of a server that refuses half of all calls whatever its load. */
    @Test
    void keepsLimitWhenServerWithFreeSlotsRefusesHalfOfTheCalls() {
        for (int i = 0; i < 40; i++) {
            TestCall[] calls = offer(4);
            clock.advanceMillis(100);
            admission.updateServerLoad(2, BASELINE_PERCENT);
            admission.release(calls[0].ticket, CallEnd.OVERLOADED);
            admission.release(calls[1].ticket, CallEnd.OVERLOADED);
            admission.release(calls[2].ticket, CallEnd.ANSWERED);
            admission.release(calls[3].ticket, CallEnd.ANSWERED);
        }
        assertThat(admission.load().limit()).isEqualTo(SLOTS);
    }

    @Test
    void reducesLimitWhenFullServerRefuses() {
        TestCall[] calls = offer(SLOTS);
        admission.updateServerLoad(SLOTS, BASELINE_PERCENT);
        clock.advanceMillis(100);
        admission.release(calls[0].ticket, CallEnd.OVERLOADED);
        assertThat(admission.load().limit()).isLessThan(SLOTS);
    }

    private TestCall[] offer(int count) {
        TestCall[] calls = new TestCall[count];
        for (int i = 0; i < count; i++) {
            calls[i] = new TestCall(clock.nanoTime());
            admission.offer(calls[i].ticket);
        }
        return calls;
    }

    private static final class TestCall implements AdmissionListener {

        private final Ticket ticket;
        private boolean admitted;

        TestCall(long now) {
            ticket = new Ticket("clips", ServiceClass.STANDARD, now + DEADLINE_NANOS, false, this);
        }

        @Override
        public void onAdmitted() {
            admitted = true;
        }

        @Override
        public void onRejected(ResultCode code) {
            throw new AssertionError("rejected as " + code);
        }
    }
}
