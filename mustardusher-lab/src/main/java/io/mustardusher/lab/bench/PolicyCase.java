package io.mustardusher.lab.bench;

import java.util.List;

import io.mustardusher.lab.cluster.Cluster;
import io.mustardusher.lab.load.LoadSpec;
import io.mustardusher.lab.standin.BackendServer;

/** A condition under which routing policies are compared: a load and, in some cases, the degradation of one server. */
public enum PolicyCase {
    /** Load of 30% of the slots. */
    STEADY_30(0.3),

    /** Load of 60% of the slots. */
    STEADY_60(0.6),

    /** Load of 85% of the slots. */
    STEADY_85(0.85),

    /** Load of 10% of the slots that increases tenfold for one second. */
    BURST(0.1) {
        @Override
        List<LoadSpec> loads(String service, double capacity, long millis) {
            LoadSpec burst =
                    spec(service, capacity * utilisation() * 9, millis / 3, Math.min(millis, millis / 3 + 1_000));
            return List.of(spec(service, capacity * utilisation(), 0, millis), burst);
        }
    },

    /** Load of 50% of the slots; one server becomes ten times slower. */
    SLOW_SERVER(0.5) {
        @Override
        void degrade(Cluster cluster, BackendServer server) {
            server.setBehaviour(server.behaviour().withSlowFactor(10));
        }
    },

    /** Load of 50% of the slots; one server responds to all calls immediately with status 503. */
    FAIL_FAST(0.5) {
        @Override
        void degrade(Cluster cluster, BackendServer server) {
            server.setBehaviour(server.behaviour().withFailFast(true));
        }
    },

    /** Load of 50% of the slots; a noisy neighbour triples one server's service time in every other 5 ms interval. */
    NOISY_NEIGHBOUR(0.5) {
        @Override
        void degrade(Cluster cluster, BackendServer server) {
            server.setBehaviour(server.behaviour().withNoisePhaseMillis(5));
        }
    },

    /** Load of 50% of the slots; one server drains. */
    DRAIN(0.5) {
        @Override
        void degrade(Cluster cluster, BackendServer server) {
            server.drain();
        }
    },

    /** Load of 150% of the slots. */
    OVERLOAD(1.5);

    private static final long DEADLINE_MILLIS = 1_000;

    /** Length of the requested response bodies. */
    private static final int ANSWER_BYTES = 500;

    /** Load as a fraction of the capacity of all slots. */
    private final double utilisation;

    /**
     * Creates a case.
     *
     * @param utilisation load as a fraction of the capacity of all slots
     */
    PolicyCase(double utilisation) {
        this.utilisation = utilisation;
    }

    /**
     * Returns the load as a fraction of the capacity of all slots.
     *
     * @return the fraction; above 1 for an overload
     */
    double utilisation() {
        return utilisation;
    }

    /**
     * Returns the streams of calls that make up the load.
     *
     * @param service  name of the service
     * @param capacity capacity of all slots, in calls per second
     * @param millis   length of the load, in milliseconds
     * @return streams of calls
     */
    List<LoadSpec> loads(String service, double capacity, long millis) {
        return List.of(spec(service, capacity * utilisation, 0, millis));
    }

    /**
     * Degrades a server. The benchmark calls this after a third of the load.
     *
     * @param cluster the deployment
     * @param server  server to degrade
     */
    void degrade(Cluster cluster, BackendServer server) {
        // the cases that only set a load degrade no server
    }

    /**
     * Restores the normal behaviour of a server.
     *
     * @param server server to restore
     */
    void restore(BackendServer server) {
        server.setBehaviour(
                server.behaviour().withSlowFactor(1).withFailFast(false).withNoisePhaseMillis(0));
        server.resume();
    }

    /**
     * Creates a stream of calls.
     *
     * @param service    name of the service
     * @param perSecond  calls per second
     * @param fromMillis start, in milliseconds from the start of the load
     * @param toMillis   end, in milliseconds from the start of the load
     * @return stream of calls that are all idempotent
     */
    private static LoadSpec spec(String service, double perSecond, long fromMillis, long toMillis) {
        return new LoadSpec(service, perSecond, 0, ANSWER_BYTES, DEADLINE_MILLIS, fromMillis, toMillis);
    }
}
