package io.mustardusher.admission;

import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.Mobility;
import io.mustardusher.time.Clock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: one hot account beside 70 small ones at one gate. Guards against a hot account within its allowance
 * that fills the queue, so that calls of small accounts are rejected or served after their target.
 */
class HotAccountTest {

    private static final int SMALL_ACCOUNTS = 70;
    private static final int SLOTS = 8;
    private static final int WORK_MILLIS = 100;
    private static final long TARGET_MILLIS = 400;
    private static final long DEADLINE_MILLIS = 1_200;
    private static final int LENGTH_MILLIS = 60_000;

    /** Load of all small accounts, as a fraction of the capacity. */
    private static final double SMALL_LOAD = 0.7;

    /** The worst tenth of the small accounts keeps this fraction of what it gets without the hot account. */
    private static final double MIN_KEPT = 0.8;

    /** The hot account gets at least this fraction of the share served of the small ones. */
    private static final double MIN_RELATIVE_SHARE = 0.25;

    @ParameterizedTest
    @ValueSource(doubles = {0.3, 1, 2.5})
    void smallAccountsKeepTheirShareBesideHotOne(double hotLoad) {
        double[] alone = new Gate(0, 11).served();
        double[] shared = new Gate(hotLoad, 11).served();
        assertThat(worstTenth(shared)).isAtLeast(MIN_KEPT * worstTenth(alone));
        double free = 1 - SMALL_LOAD;
        assertThat(shared[0]).isAtLeast(MIN_RELATIVE_SHARE * Math.min(1, free / hotLoad));
    }

    // The first account is the hot one.
    private static double worstTenth(double... served) {
        return Arrays.stream(served)
                .skip(1)
                .sorted()
                .limit(SMALL_ACCOUNTS / 10)
                .average()
                .orElseThrow();
    }

    private static final class Gate {

        private final Clock.Manual clock = new Clock.Manual();
        private final Admission admission = Admission.withLatencyTargets(clock, 1);
        private final PriorityQueue<TestCall> running =
                new PriorityQueue<>(Comparator.comparingLong(call -> call.endMillis));
        private final int[] offered = new int[SMALL_ACCOUNTS + 1];
        private final int[] inTime = new int[SMALL_ACCOUNTS + 1];
        private final double hotLoad;
        private final Random random;

        Gate(double hotLoad, long seed) {
            this.hotLoad = hotLoad;
            this.random = new Random(seed);
            admission.configure(SLOTS, 2, 0);
            admission.open();
        }

        /** Returns the share of the calls of each account that was answered within the target. */
        double[] served() {
            for (int i = 0; i < LENGTH_MILLIS; i++) {
                clock.advanceMillis(1);
                while (!running.isEmpty() && running.peek().endMillis <= millis()) {
                    running.remove().end();
                }
                offer(0, hotLoad);
                offer(1 + random.nextInt(SMALL_ACCOUNTS), SMALL_LOAD);
            }
            double[] shares = new double[SMALL_ACCOUNTS + 1];
            Arrays.setAll(shares, i -> offered[i] == 0 ? 1 : (double) inTime[i] / offered[i]);
            return shares;
        }

        private void offer(int account, double load) {
            if (random.nextDouble() < load * SLOTS / WORK_MILLIS) {
                offered[account]++;
                admission.offer(new TestCall(account).ticket);
            }
        }

        private long millis() {
            return clock.nanoTime() / Clock.NANOS_PER_MILLI;
        }

        private final class TestCall implements AdmissionListener {

            private final int account;
            private final long arrivedMillis = millis();
            private final Ticket ticket;
            private long endMillis;

            TestCall(int account) {
                this.account = account;
                this.ticket = new Ticket(
                        "kind",
                        ServiceClass.STANDARD,
                        (arrivedMillis + DEADLINE_MILLIS) * Clock.NANOS_PER_MILLI,
                        false,
                        this,
                        new Ticket.LatencyTarget(
                                (arrivedMillis + TARGET_MILLIS) * Clock.NANOS_PER_MILLI, Mobility.FIXED),
                        new Ticket.Precedence(0, false, "account-" + account));
            }

            void end() {
                inTime[account] += millis() - arrivedMillis <= TARGET_MILLIS ? 1 : 0;
                admission.release(ticket, CallEnd.ANSWERED);
            }

            @Override
            public void onAdmitted() {
                endMillis = millis() + WORK_MILLIS / 2 + random.nextInt(WORK_MILLIS);
                running.add(this);
            }

            @Override
            public void onRejected(ResultCode code) {
                // counts as offered only
            }
        }
    }
}
