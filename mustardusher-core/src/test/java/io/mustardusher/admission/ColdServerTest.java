package io.mustardusher.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.Mobility;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Load pattern: many more calls than a cold server tolerates, while the server becomes cold at any time and its gate
 * restarts. Guards against a server that crashes because more calls reach it within a second than the bound permits.
 */
class ColdServerTest {

    private static final int SEEDS = 10_000;
    private static final int SLOTS = 8;
    private static final long COLD_MILLIS = 3_000;
    private static final double OVERAGE = 1.5;
    private static final double SLACK = 8;
    private static final int WINDOW_MILLIS = 1_000;

    /** Time that a node takes at least to start again. */
    private static final int RESTART_MILLIS = 1_000;

    private final Clock.Manual clock = new Clock.Manual();

    @ParameterizedTest
    @ValueSource(doubles = {1, 4, 12, 60, 300})
    void unnoticedColdStartStaysWithinBound(double coldPerSecond) {
        Server server = new Server(coldPerSecond, new Random(1));
        server.play(2_000, 1_000);
        int before = server.arrivalsMillis.size();
        server.becomeCold();
        server.play(COLD_MILLIS, 1_000);
        assertThat(server.mostColdCalls()).isAtMost(server.bound());
        // While it is cold, the server gets nearly the rate that it tolerates.
        assertThat(server.arrivalsMillis.size() - before).isAtLeast((int) (coldPerSecond * 2));
    }

    @ParameterizedTest
    @ValueSource(doubles = {1, 4, 12, 60, 300})
    void restartOfGateStaysWithinBound(double coldPerSecond) {
        Server server = new Server(coldPerSecond, new Random(2));
        server.play(2_000, 1_000);
        server.becomeCold();
        server.play(20, 1_000);
        server.startGate();
        server.play(COLD_MILLIS, 1_000);
        assertThat(server.mostColdCalls()).isAtMost(server.bound());
    }

    // Guards against a gate that holds back calls although its server is warm.
    @Test
    void warmServerGetsAllCallsThatItsSlotsAllow() {
        Server server = new Server(10, new Random(3));
        server.play(1_000, 400);
        int before = server.arrivalsMillis.size();
        server.play(4_000, 400);
        assertThat(server.arrivalsMillis.size() - before).isAtLeast(4 * 380);
    }

    // Guards against calls that wait for a statement that never arrives.
    @Test
    void serverThatAnswersNoProbeGetsCallsWithinBound() {
        Server server = new Server(10, new Random(4));
        server.answersProbes = false;
        server.coldUntilMillis = Long.MAX_VALUE;
        server.play(10_000, 400);
        assertThat(server.mostColdCalls()).isAtMost(server.bound());
        assertThat(server.arrivalsMillis.size()).isAtLeast(9 * 10);
    }

    @Test
    void dispatchesNothingBeforeFirstStatement() {
        Admission admission = gate(new ColdPolicy(10, COLD_MILLIS * Clock.NANOS_PER_MILLI, 23));
        TestCall call = offer(admission, 900);
        assertThat(call.admitted).isFalse();
        admission.recordAnnouncement(false, OptionalLong.of(0));
        assertThat(call.admitted).isTrue();
    }

    @Test
    void dispatchesNothingBeforeConfigurationIsKnown() {
        Admission admission = gate(ColdPolicy.UNKNOWN);
        admission.recordAnnouncement(false, OptionalLong.of(0));
        TestCall call = offer(admission, 900);
        assertThat(call.admitted).isFalse();
        admission.configureColdStart(ColdPolicy.NONE);
        assertThat(call.admitted).isTrue();
    }

    // Guards against an announcement that was sent before the server became cold again.
    @Test
    void announcementDoesNotEndColdStart() {
        Admission admission = gate(new ColdPolicy(10, COLD_MILLIS * Clock.NANOS_PER_MILLI, 23));
        admission.recordHealth(COLD_MILLIS * Clock.NANOS_PER_MILLI, clock.nanoTime());
        admission.recordAnnouncement(false, OptionalLong.of(0));
        assertThat(admission.isCold()).isTrue();
        clock.advanceMillis(100);
        admission.recordHealth(0, clock.nanoTime());
        assertThat(admission.isCold()).isFalse();
    }

    // Guards against an answer of the previous process of the server that arrives after the new one was announced.
    @Test
    void answerToEarlierProbeDoesNotEndColdStart() {
        Admission admission = gate(new ColdPolicy(10, COLD_MILLIS * Clock.NANOS_PER_MILLI, 23));
        long sentNanos = clock.nanoTime();
        clock.advanceMillis(5);
        admission.recordAnnouncement(true, OptionalLong.of(COLD_MILLIS * Clock.NANOS_PER_MILLI));
        admission.recordHealth(0, sentNanos);
        assertThat(admission.isCold()).isTrue();
    }

    @Test
    void coldServerReportsReducedCapacityAndRefusesCallsWhoseTurnComesLate() {
        Admission admission = gate(new ColdPolicy(10, COLD_MILLIS * Clock.NANOS_PER_MILLI, 23));
        admission.recordHealth(0, clock.nanoTime());
        TestCall first = offer(admission, 900);
        clock.advanceMillis(200);
        admission.release(first.ticket, CallEnd.ANSWERED);
        assertThat(admission.load().limit()).isEqualTo(SLOTS);
        admission.recordHealth(COLD_MILLIS * Clock.NANOS_PER_MILLI, clock.nanoTime());
        assertThat(admission.load().limit()).isEqualTo(2);
        List<TestCall> calls = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            calls.add(offer(admission, 300));
        }
        assertThat(calls.stream().filter(call -> call.code == ResultCode.OVERLOADED))
                .isNotEmpty();
        assertThat(calls.get(0).code).isNull();
    }

    /** Bursts, pauses, cold starts with and without announcement, lost probes, restarts of server and gate. */
    @Test
    void randomHistoriesStayWithinBound() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            Server server = new Server(1 + random.nextInt(40), random);
            int events = 3 + random.nextInt(6);
            for (int event = 0; event < events; event++) {
                server.play(random.nextInt(900), random.nextInt(4) == 0 ? 0 : 20 + random.nextInt(600));
                server.disturb();
            }
            server.play(500, 600);
            if (server.mostColdCalls() > server.bound()) {
                throw new AssertionError("seed " + seed + ": " + server.mostColdCalls() + " calls where "
                        + server.bound() + " are permitted");
            }
        }
    }

    private Admission gate(ColdPolicy policy) {
        Admission admission = Admission.withLatencyTargets(clock, 1);
        admission.configureColdStart(ColdPolicy.UNKNOWN);
        admission.configure(SLOTS, 2, 0);
        admission.open();
        admission.configureColdStart(policy);
        return admission;
    }

    private TestCall offer(Admission admission, long targetMillis) {
        return offer(admission, targetMillis, call -> {});
    }

    private TestCall offer(Admission admission, long targetMillis, Consumer<TestCall> server) {
        TestCall call = new TestCall(server);
        long targetNanos = clock.nanoTime() + targetMillis * Clock.NANOS_PER_MILLI;
        call.ticket = new Ticket(
                "route",
                ServiceClass.STANDARD,
                targetNanos + 700 * Clock.NANOS_PER_MILLI,
                false,
                call,
                new Ticket.LatencyTarget(targetNanos, Mobility.FIXED));
        admission.offer(call.ticket);
        return call;
    }

    private static final class TestCall implements AdmissionListener {

        private final Consumer<TestCall> server;
        private Ticket ticket;
        private boolean admitted;
        private ResultCode code;

        private TestCall(Consumer<TestCall> server) {
            this.server = server;
        }

        @Override
        public void onAdmitted() {
            admitted = true;
            server.accept(this);
        }

        @Override
        public void onRejected(ResultCode rejection) {
            code = rejection;
        }
    }

    /** A server with its gate. Calls take 5 ms and probes 3 ms. */
    private final class Server {

        private static final int STEP_MILLIS = 5;
        private static final int PROBE_MILLIS = 3;

        private final double coldPerSecond;
        private final Random random;
        private final List<Long> arrivalsMillis = new ArrayList<>();
        private final List<Long> coldArrivalsMillis = new ArrayList<>();
        private final List<TestCall> running = new ArrayList<>();
        private Admission gate;
        private long coldUntilMillis;
        private boolean answersProbes = true;
        private double probeBudget;
        private long gateStartMillis;
        private double due;

        Server(double coldPerSecond, Random random) {
            this.coldPerSecond = coldPerSecond;
            this.random = random;
            startGate();
        }

        int bound() {
            return (int) (coldPerSecond * OVERAGE + SLACK);
        }

        void startGate() {
            running.clear();
            gateStartMillis = nowMillis();
            gate = gate(new ColdPolicy(
                    coldPerSecond, COLD_MILLIS * Clock.NANOS_PER_MILLI, coldPerSecond * OVERAGE + SLACK));
            gate.onStatementNeeded(this::probe);
            gate.recordAnnouncement(true, OptionalLong.empty());
        }

        void becomeCold() {
            coldUntilMillis = nowMillis() + COLD_MILLIS;
        }

        // A server does not become cold again, and a node does not restart again, within a second.
        void disturb() {
            boolean mayBecomeCold = nowMillis() - coldUntilMillis >= WINDOW_MILLIS;
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    if (mayBecomeCold) {
                        becomeCold();
                        announceSometimes();
                    }
                }
                case 2 -> {
                    if (nowMillis() - gateStartMillis >= RESTART_MILLIS) {
                        clock.advanceMillis(random.nextInt(3) == 0 ? random.nextInt(RESTART_MILLIS) : 0);
                        startGate();
                    }
                }
                case 3 -> gate.recordAnnouncement(false, OptionalLong.of(0));
                case 4 -> answersProbes = random.nextInt(3) > 0;
                default -> clock.advanceMillis(random.nextInt(2_000));
            }
        }

        private void announceSometimes() {
            switch (random.nextInt(4)) {
                case 0 -> gate.recordAnnouncement(true, OptionalLong.empty());
                case 1 -> gate.recordAnnouncement(true, OptionalLong.of(COLD_MILLIS * Clock.NANOS_PER_MILLI));
                default -> {
                    // It becomes cold unnoticed.
                }
            }
        }

        /** Makes calls for some time. */
        void play(long millis, double callsPerSecond) {
            long end = nowMillis() + millis;
            while (nowMillis() < end) {
                long step = nowMillis();
                List<TestCall> answered = List.copyOf(running);
                running.clear();
                answered.forEach(call -> gate.release(call.ticket, CallEnd.ANSWERED));
                probeBudget = Math.min(7, probeBudget + 0.15);
                due += callsPerSecond * STEP_MILLIS / 1_000;
                for (; due >= 1; due--) {
                    offer(gate, 300, this::arrive);
                }
                if (step % 20 < STEP_MILLIS) {
                    gate.poll();
                }
                clock.advanceMillis(Math.max(1, step + STEP_MILLIS - nowMillis()));
            }
        }

        private void arrive(TestCall call) {
            running.add(call);
            arrivalsMillis.add(nowMillis());
            if (nowMillis() < coldUntilMillis) {
                coldArrivalsMillis.add(nowMillis());
            }
        }

        private void probe() {
            if (probeBudget < 1) {
                return;
            }
            probeBudget--;
            long sentNanos = clock.nanoTime();
            clock.advanceMillis(PROBE_MILLIS);
            if (answersProbes) {
                long remaining = Math.max(0, coldUntilMillis - nowMillis());
                gate.recordHealth(remaining * Clock.NANOS_PER_MILLI, sentNanos);
            }
        }

        int mostColdCalls() {
            int most = 0;
            int first = 0;
            for (int i = 0; i < coldArrivalsMillis.size(); i++) {
                while (coldArrivalsMillis.get(i) - coldArrivalsMillis.get(first) >= WINDOW_MILLIS) {
                    first++;
                }
                most = Math.max(most, i - first + 1);
            }
            return most;
        }

        private long nowMillis() {
            return clock.nanoTime() / Clock.NANOS_PER_MILLI;
        }
    }
}
