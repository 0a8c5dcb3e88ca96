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

/** Time of single decisions. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecisionBenchmark {

    /** Time allowed for a call, in nanoseconds. */
    private static final long LEFT_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Number of servers to choose from. */
    @Param({"5", "100", "500", "2000"})
    public int candidates;

    /** Name of the policy. */
    @Param({"MUSTARDUSHER", "LEAST_IN_FLIGHT_OF_TWO"})
    public RoutingPolicy policy;

    /** Servers to choose from. */
    private ServerPool pool;

    /** No server was tried. */
    private final ExcludedServers exclusion = new ExcludedServers();

    /** Time of the decisions, in nanoseconds. */
    private long now;

    /** A gate with free slots. */
    private Admission admission;

    /** Creates the servers and the gate. */
    @Setup
    public void prepare() {
        now = System.nanoTime();
        List<ServerLoad> servers = new ArrayList<>();
        for (int i = 0; i < candidates; i++) {
            ServerLoad server = new ServerLoad(NodeId.of("s" + i), 17, 1_000, 0);
            server.update(new LoadReport(i % 17, i % 3, 17, 5_000 + i, false), now);
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
     * @return the server
     */
    @Benchmark
    public ServerLoad choose() {
        return policy.choose(pool, exclusion, ThreadLocalRandom.current(), now);
    }

    /**
     * Lets a call through a gate and ends it.
     *
     * @return the call
     */
    @Benchmark
    public Ticket admit() {
        Ticket ticket =
                new Ticket("owner", ServiceClass.STANDARD, System.nanoTime() + LEFT_NANOS, false, Silent.INSTANCE);
        admission.offer(ticket);
        admission.release(ticket, CallEnd.ANSWERED);
        return ticket;
    }

    /** A waiter that does nothing. */
    private enum Silent implements AdmissionListener {
        /** The only instance. */
        INSTANCE;

        @Override
        public void onAdmitted() {
            // nothing to dispatch
        }

        @Override
        public void onRejected(ResultCode code) {
            // nothing to answer
        }
    }
}
