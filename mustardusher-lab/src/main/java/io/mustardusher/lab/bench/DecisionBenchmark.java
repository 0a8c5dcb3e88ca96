package io.mustardusher.lab.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.mustardusher.admission.Admission;
import io.mustardusher.admission.AdmissionListener;
import io.mustardusher.admission.CallEnd;
import io.mustardusher.admission.Ticket;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.membership.NodeId;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.ExcludedServers;
import io.mustardusher.routing.LoadReport;
import io.mustardusher.routing.RoutingPolicy;
import io.mustardusher.routing.ServerLoad;
import io.mustardusher.routing.ServerPool;
import io.mustardusher.time.Clock;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** JMH benchmark of single routing and admission decisions. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecisionBenchmark {

    /** Time until the deadline of an admitted call. */
    private static final long TIMEOUT_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Number of servers to choose from. */
    @Param({"5", "100", "500", "2000"})
    public int candidates;

    /** Routing policy by which servers are chosen. */
    @Param({"MUSTARDUSHER", "LEAST_IN_FLIGHT_OF_TWO"})
    public RoutingPolicy policy;

    private ServerPool pool;

    /** Empty, as for the first attempt of a call. */
    private final ExcludedServers excluded = new ExcludedServers();

    /** Time passed to the policy, fixed at setup, on the scale of {@link System#nanoTime()}. */
    private long nowNanos;

    /** Admission with free slots. */
    private Admission admission;

    /** Creates servers with different loads, and an open admission. */
    @Setup
    public void prepare() {
        nowNanos = System.nanoTime();
        List<ServerLoad> servers = new ArrayList<>();
        for (int i = 0; i < candidates; i++) {
            ServerLoad server = new ServerLoad(NodeId.of("s" + i), 17, 1_000, 0);
            server.update(new LoadReport(i % 17, i % 3, 17, 5_000 + i, false), nowNanos);
            servers.add(server);
        }
        pool = ServerPool.of(servers);
        admission = new Admission(Clock.ForSystem.INSTANCE);
        admission.configure(17, 4, 0);
        admission.open();
    }

    /**
     * Chooses a server.
     *
     * @return the chosen server
     */
    @Benchmark
    public ServerLoad choose() {
        return policy.choose(pool, excluded, ThreadLocalRandom.current(), nowNanos);
    }

    /**
     * Admits a call and releases its slot.
     *
     * @return ticket of the call
     */
    @Benchmark
    public Ticket admit() {
        Ticket ticket = new Ticket(
                "owner", ServiceClass.STANDARD, System.nanoTime() + TIMEOUT_NANOS, false, NoOpListener.INSTANCE);
        admission.offer(ticket);
        admission.release(ticket, CallEnd.ANSWERED);
        return ticket;
    }

    /** Listener that ignores the decision. */
    private enum NoOpListener implements AdmissionListener {
        /** The only instance. */
        INSTANCE;

        @Override
        public void onAdmitted() {
            // no call to dispatch
        }

        @Override
        public void onRejected(ResultCode code) {
            // no caller to respond to
        }
    }
}
