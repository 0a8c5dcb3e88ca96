package io.mustardusher.admission;

import java.util.Random;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.Mobility;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: a noisy neighbour makes the server five times slower for 150 ms at a time. A call keeps the speed at
 * which it started, so calls that are dispatched while the server is slow miss their targets.
 */
class NoisyNeighbourTest {

    private static final long WORK_MILLIS = 90;
    private static final long TARGET_MILLIS = 300;
    private static final long DEADLINE_MILLIS = 1_200;
    private static final int SLOW_PERCENT = 500;
    private static final int BASELINE_PERCENT = 100;

    private final Clock.Manual clock = new Clock.Manual();
    private final Admission admission = Admission.withLatencyTargets(clock, 1);

    NoisyNeighbourTest() {
        admission.configure(4, 4, 0);
        admission.open();
        recordBaselineServiceTimes();
    }

    @Test
    void rejectsMovableCallAsSlowerThanTargetWhenServerIsSlow() {
        reportSlowness(SLOW_PERCENT);
        assertThat(offer(true).code).isEqualTo(ResultCode.SLOWER_THAN_TARGET);
    }

    /** A call that comes back late would be returned by each gate in turn, which multiplies the load of a busy service. */
    @Test
    void keepsMovableCallThatCannotMeetItsTargetAnywhere() {
        recordBaselineServiceTimes();
        reportSlowness(SLOW_PERCENT);
        TestCall call =
                new TestCall(clock.nanoTime() - (TARGET_MILLIS - WORK_MILLIS + 1) * Clock.NANOS_PER_MILLI, true);
        admission.offer(call.ticket);
        assertThat(call.code).isNull();
    }

    @Test
    void defersCallThatIsNotMovableUntilServerRecovers() {
        reportSlowness(SLOW_PERCENT);
        TestCall call = offer(false);
        assertThat(call.admitted).isFalse();
        assertThat(admission.isDeferring()).isTrue();
        clock.advanceMillis(60);
        reportSlowness(BASELINE_PERCENT);
        assertThat(call.admitted).isTrue();
    }

    /** Nothing else wakes a node up for a deferred call, so each change that leaves one must request the next poll. */
    @Test
    void requestsPollsOnlyWhileCallsAreDeferred() {
        int[] requests = new int[1];
        admission.onDeferral(() -> requests[0]++);
        offer(false);
        assertThat(requests[0]).isEqualTo(0);
        reportSlowness(SLOW_PERCENT);
        offer(false);
        assertThat(requests[0]).isEqualTo(1);
        admission.poll();
        assertThat(requests[0]).isEqualTo(2);
        clock.advanceMillis(60);
        reportSlowness(BASELINE_PERCENT);
        assertThat(admission.isDeferring()).isFalse();
        assertThat(requests[0]).isEqualTo(2);
    }

    /** A call of 90 ms that starts on a server five times as slow loses 360 ms, so it waits no longer than that. */
    @Test
    void limitsDeferralToLossOfSlowStart() {
        reportSlowness(SLOW_PERCENT);
        TestCall call = offer(false);
        stayAtPercent(SLOW_PERCENT, 320);
        assertThat(call.admitted).isFalse();
        stayAtPercent(SLOW_PERCENT, 40);
        assertThat(call.admitted).isTrue();
    }

    /** The slowness that the server reports determines the loss, so the same call waits less for a server half as slow. */
    @Test
    void limitsDeferralByReportedSlowness() {
        reportSlowness(SLOW_PERCENT / 2);
        TestCall call = offer(false);
        stayAtPercent(SLOW_PERCENT / 2, 120);
        assertThat(call.admitted).isFalse();
        stayAtPercent(SLOW_PERCENT / 2, 40);
        assertThat(call.admitted).isTrue();
    }

    @Test
    void doesNotWaitForServerThatStaysSlow() {
        for (int i = 0; i < 20; i++) {
            reportSlowness(SLOW_PERCENT);
            stayAtPercent(SLOW_PERCENT, 80);
            reportSlowness(BASELINE_PERCENT);
        }
        reportSlowness(SLOW_PERCENT);
        stayAtPercent(SLOW_PERCENT, 1_000);
        assertThat(offer(false).admitted).isTrue();
    }

    /** All nodes have restarted at once and know no service times; slow starts would fill the servers. */
    @Test
    void defersCallsBeforeFirstAnswer() {
        Admission restarted = Admission.withLatencyTargets(clock, 1);
        restarted.configure(4, 4, 0);
        restarted.open();
        restarted.updateServerLoad(0, SLOW_PERCENT);
        TestCall call = new TestCall(clock.nanoTime(), false);
        restarted.offer(call.ticket);
        assertThat(call.admitted).isFalse();
        clock.advanceMillis(40);
        restarted.updateServerLoad(0, BASELINE_PERCENT);
        assertThat(call.admitted).isTrue();
    }

    @Test
    void ignoresExpiredSlownessReport() {
        reportSlowness(SLOW_PERCENT);
        clock.advanceMillis(200);
        assertThat(offer(false).admitted).isTrue();
    }

    /** The server is slow for a third of the calls. A third miss their target without deferral, a tenth may with it. */
    @Test
    void mostCallsMeetTheirTarget() {
        Random random = new Random(150);
        int met = 0;
        int calls = 400;
        for (int i = 0; i < calls; i++) {
            boolean slow = random.nextInt(100) < 35;
            long remainingSlowMillis = slow ? 1 + random.nextInt(150) : 0;
            reportSlowness(slow ? SLOW_PERCENT : BASELINE_PERCENT);
            TestCall call = offer(false);
            long waitedMillis = 0;
            while (!call.admitted) {
                clock.advanceMillis(10);
                waitedMillis += 10;
                reportSlowness(waitedMillis < remainingSlowMillis ? SLOW_PERCENT : BASELINE_PERCENT);
            }
            long workMillis = waitedMillis < remainingSlowMillis ? WORK_MILLIS * 5 : WORK_MILLIS;
            clock.advanceMillis(workMillis);
            admission.release(call.ticket, CallEnd.ANSWERED);
            met += waitedMillis + workMillis <= TARGET_MILLIS ? 1 : 0;
        }
        assertThat(met).isAtLeast(calls * 9 / 10);
    }

    private void reportSlowness(int percent) {
        admission.updateServerLoad(admission.inFlight(), percent);
    }

    private void stayAtPercent(int percent, long millis) {
        for (long waited = 0; waited < millis; waited += 40) {
            clock.advanceMillis(40);
            reportSlowness(percent);
        }
    }

    private void recordBaselineServiceTimes() {
        for (int i = 0; i < 20; i++) {
            TestCall call = offer(false);
            clock.advanceMillis(WORK_MILLIS);
            admission.release(call.ticket, CallEnd.ANSWERED);
        }
    }

    private TestCall offer(boolean movable) {
        TestCall call = new TestCall(clock.nanoTime(), movable);
        admission.offer(call.ticket);
        return call;
    }

    private static final class TestCall implements AdmissionListener {

        private final Ticket ticket;
        private boolean admitted;
        private ResultCode code;

        TestCall(long now, boolean movable) {
            Ticket.LatencyTarget target = new Ticket.LatencyTarget(
                    now + TARGET_MILLIS * Clock.NANOS_PER_MILLI, movable ? Mobility.IF_LATE : Mobility.FIXED);
            ticket = new Ticket(
                    "clips", ServiceClass.STANDARD, now + DEADLINE_MILLIS * Clock.NANOS_PER_MILLI, false, this, target);
        }

        @Override
        public void onAdmitted() {
            admitted = true;
        }

        @Override
        public void onRejected(ResultCode reason) {
            code = reason;
        }
    }
}
