package io.mustardusher.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import io.mustardusher.membership.NodeId;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Downloads of 90 kB from servers behind links of 11 Mbit/s, in three domains with 3, 3 and 2 servers, while the peak of
 * arrivals moves from domain to domain. Guards against answers that leave their domain although a server of the domain
 * can answer in time, and against domains that keep more downloads than their links can carry.
 */
class DownloadsOverSlowLinksTest {

    private static final double MILLI = Clock.NANOS_PER_MILLI;
    private static final int[] SERVERS_OF_DOMAIN = {3, 3, 2};
    private static final int SLOTS = 6;
    private static final double WORK_MILLIS = 100;
    private static final double TARGET_MILLIS = 600;
    private static final double BYTES = 90_000;
    private static final double BYTES_PER_MILLI = 11_000 / 8.0;
    private static final double PERIOD_MILLIS = 13_000;
    private static final double AMPLITUDE = 0.55;
    private static final double LENGTH_MILLIS = 65_000;

    @Test
    void downloadsStayInTheirDomainWhileItsLinksCarryThem() {
        Result result = simulate(14, 1);
        assertThat(result.inTime).isAtLeast(0.99);
        assertThat(result.leftDomain).isAtMost(0.01);
    }

    /** At the peak of the domain with two servers, its links cannot carry all downloads. */
    @Test
    void downloadsLeaveTheirDomainWhenItsLinksAreFull() {
        Result result = simulate(24, 1);
        assertThat(result.inTime).isAtLeast(0.95);
        assertThat(result.leftDomain).isAtLeast(0.01);
        assertThat(result.leftDomain).isAtMost(0.05);
    }

    /** A slow server costs up to four service times, but the bytes of the answer cost more. */
    @Test
    void answerStaysInDomainWhoseSlowServerIsInTime() {
        assertThat(chosenBesideSlowServer(TARGET_MILLIS)).isEqualTo("near");
    }

    @Test
    void answerLeavesDomainWhoseServersAreLate() {
        assertThat(chosenBesideSlowServer(2 * WORK_MILLIS)).isEqualTo("far");
    }

    private static String chosenBesideSlowServer(double targetMillis) {
        TransferCost cost = new TransferCost();
        cost.recordCall((long) BYTES);
        ServerLoad near = new ServerLoad(NodeId.of("near"), SLOTS, 200, -100_000_000_000L);
        ServerLoad far = new ServerLoad(NodeId.of("far"), SLOTS, 3_900, -100_000_000_000L);
        near.update(new LoadReport(0, 0, SLOTS, (long) (WORK_MILLIS * 1_000), false, true), 0);
        far.update(new LoadReport(0, 0, SLOTS, (long) (WORK_MILLIS * 1_000), false, false), 0);
        long target = (long) (targetMillis * MILLI);
        return new ServerSelection(RoutingPolicy.LEAST_COST, cost, target)
                .next(ServerPool.of(List.of(near, far)), new Random(1), 0)
                .orElseThrow()
                .server()
                .node()
                .value();
    }

    @Test
    void smallAnswersAreChosenAsBefore() {
        for (int bytes : new int[] {0, 500, 5_000, 15_000}) {
            TransferCost cost = new TransferCost();
            cost.recordCall(bytes);
            assertThat(cost.largeBytes()).isEqualTo(0);
            assertThat(cost.cost()).isAtMost(2.2);
        }
    }

    private static Result simulate(double perSecondAndDomain, long seed) {
        return new Simulation(perSecondAndDomain, seed).run();
    }

    private record Result(double inTime, double leftDomain) {}

    /** One entry in each domain; a server runs calls in slots and sends its answers one after another. */
    private static final class Simulation {

        private final Clock.Manual clock = new Clock.Manual();
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final List<Server> servers = new ArrayList<>();
        private final List<ServerPool> pools = new ArrayList<>();
        private final List<List<ServerLoad>> loads = new ArrayList<>();
        private final TransferCost cost = new TransferCost();
        private final Random random;
        private final double perSecondAndDomain;
        private long number;
        private int calls;
        private int inTime;
        private int left;

        Simulation(double perSecondAndDomain, long seed) {
            this.perSecondAndDomain = perSecondAndDomain;
            this.random = new Random(seed);
            for (int domain = 0; domain < SERVERS_OF_DOMAIN.length; domain++) {
                for (int i = 0; i < SERVERS_OF_DOMAIN[domain]; i++) {
                    servers.add(new Server(domain));
                }
            }
            for (int domain = 0; domain < SERVERS_OF_DOMAIN.length; domain++) {
                List<ServerLoad> seen = new ArrayList<>();
                for (int i = 0; i < servers.size(); i++) {
                    long oneWayMicros = servers.get(i).domain == domain ? 200 : 3_900;
                    seen.add(new ServerLoad(NodeId.of("n" + i), SLOTS, oneWayMicros, -100_000_000_000L));
                }
                loads.add(seen);
                pools.add(ServerPool.of(seen));
                scheduleArrival(domain);
            }
        }

        Result run() {
            while (!events.isEmpty()) {
                Event next = events.poll();
                clock.advanceMicros((next.nanos - clock.nanoTime()) / 1_000);
                next.task.run();
            }
            return new Result(inTime / (double) calls, left / (double) calls);
        }

        private void after(double millis, Runnable task) {
            events.add(new Event(clock.nanoTime() + (long) Math.ceil(millis * 1_000) * 1_000, number++, task));
        }

        private double millis() {
            return clock.nanoTime() / MILLI;
        }

        private void scheduleArrival(int domain) {
            double phase = 2 * Math.PI * (millis() / PERIOD_MILLIS + domain / 3.0);
            double perMilli = perSecondAndDomain * (1 + AMPLITUDE * Math.sin(phase)) / 1_000;
            after(-Math.log(1 - random.nextDouble()) / perMilli, () -> {
                if (millis() < LENGTH_MILLIS) {
                    call(domain);
                    scheduleArrival(domain);
                }
            });
        }

        private void call(int domain) {
            calls++;
            double start = millis();
            long target = clock.nanoTime() + (long) (TARGET_MILLIS * MILLI);
            ServerSelection selection = new ServerSelection(RoutingPolicy.LEAST_COST, cost, target);
            ServerLoad load = selection
                    .next(pools.get(domain), random, clock.nanoTime())
                    .orElseThrow()
                    .server();
            Server server = servers.get(loads.get(domain).indexOf(load));
            left += server.domain == domain ? 0 : 1;
            double latency = server.domain == domain ? 0.2 : 3.9;
            double expected = cost.largeBytes();
            load.recordCallStart();
            load.transferRate().recordCallStart(expected);
            double bytes = BYTES * Math.exp(0.5 * random.nextGaussian() - 0.125);
            after(
                    latency,
                    () -> server.run(() -> {
                        LoadReport report = server.report();
                        double asked = millis() + latency;
                        server.send(
                                bytes,
                                () -> after(latency, () -> {
                                    double busySince = Math.max(asked, server.lastArrival[domain]);
                                    server.lastArrival[domain] = millis();
                                    load.transferRate()
                                            .recordTransfer(
                                                    (long) bytes,
                                                    (long) ((millis() - busySince) * MILLI),
                                                    clock.nanoTime());
                                    load.transferRate().recordCallEnd(expected);
                                    load.recordCallEnd();
                                    load.update(report, clock.nanoTime());
                                    cost.recordCall((long) bytes);
                                    inTime += millis() - start <= TARGET_MILLIS ? 1 : 0;
                                }));
                    }));
        }

        private final class Server {

            private final int domain;
            private final List<Runnable> queue = new ArrayList<>();
            private final double[] lastArrival = new double[SERVERS_OF_DOMAIN.length];
            private final double slowOffset = 600 * random.nextDouble();
            private int busy;
            private double linkFreeMillis;

            Server(int domain) {
                this.domain = domain;
            }

            LoadReport report() {
                return new LoadReport(busy, queue.size(), SLOTS, (long) (WORK_MILLIS * 1_000), false, isSlow(millis()));
            }

            void run(Runnable ended) {
                if (busy == SLOTS) {
                    queue.add(ended);
                    return;
                }
                busy++;
                after(processingMillis(WORK_MILLIS * Math.exp(0.3 * random.nextGaussian())), () -> {
                    busy--;
                    if (!queue.isEmpty()) {
                        run(queue.remove(0));
                    }
                    ended.run();
                });
            }

            // A neighbour on the machine slows the server down for 150 ms of every 600 ms.
            private boolean isSlow(double atMillis) {
                return (atMillis + slowOffset) % 600 < 150;
            }

            private double processingMillis(double workMillis) {
                double at = millis();
                double left = workMillis;
                while (left > 0) {
                    left -= isSlow(at) ? 0.2 : 1;
                    at++;
                }
                return at - millis();
            }

            void send(double bytes, Runnable sent) {
                linkFreeMillis = Math.max(linkFreeMillis, millis()) + bytes / BYTES_PER_MILLI;
                after(linkFreeMillis - millis(), sent);
            }
        }
    }

    private record Event(long nanos, long number, Runnable task) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return nanos == other.nanos ? Long.compare(number, other.number) : Long.compare(nanos, other.nanos);
        }
    }
}
