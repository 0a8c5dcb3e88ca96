package io.mustardusher.lab.bench;

import java.util.List;

import io.mustardusher.lab.cluster.Cluster;
import io.mustardusher.lab.load.LoadSpec;
import io.mustardusher.lab.standin.BackendServer;

/** A situation in which policies are compared; one server is the afflicted one. */
public enum PolicyCase {
    /** 30% of the slots. */
    STEADY_30(0.3),

    /** 60% of the slots. */
    STEADY_60(0.6),

    /** 85% of the slots. */
    STEADY_85(0.85),

    /** 10% of the slots, and ten times as much for a second. */
    BURST(0.1) {
        @Override
        List<LoadSpec> loads(String service, double capacity, long millis) {
            LoadSpec burst =
                    spec(service, capacity * utilisation() * 9, millis / 3, Math.min(millis, millis / 3 + 1_000));
            return List.of(spec(service, capacity * utilisation(), 0, millis), burst);
        }
    },

    /** 50% of the slots, one server ten times slower. */
    SLOW_SERVER(0.5) {
        @Override
        void afflict(Cluster cluster, BackendServer server) {
            server.setBehaviour(server.behaviour().withSlowFactor(10));
        }
    },

    /** 50% of the slots, one server answers 503 at once. */
    FAIL_FAST(0.5) {
        @Override
        void afflict(Cluster cluster, BackendServer server) {
            server.setBehaviour(server.behaviour().withFailFast(true));
        }
    },

    /** 50% of the slots, a neighbour triples one server's service time every other 5 ms. */
    NOISY_NEIGHBOUR(0.5) {
        @Override
        void afflict(Cluster cluster, BackendServer server) {
            server.setBehaviour(server.behaviour().withNoisePhaseMillis(5));
        }
    },

    /** 50% of the slots, one server leaves. */
    DRAIN(0.5) {
        @Override
        void afflict(Cluster cluster, BackendServer server) {
            server.drain();
        }
    },

    /** 150% of the slots. */
    OVERLOAD(1.5);

    /** Deadline of calls, in milliseconds. */
    private static final long DEADLINE_MILLIS = 1_000;

    /** Length of answers, in bytes. */
    private static final int ANSWER_BYTES = 500;

    /** Share of the slots that is used. */
    private final double utilisation;

    /**
     * Creates a case.
     *
     * @param utilisation share of the slots that is used
     */
    PolicyCase(double utilisation) {
        this.utilisation = utilisation;
    }

    /**
     * Returns the share of the slots that is used.
     *
     * @return the share
     */
    double utilisation() {
        return utilisation;
    }

    /**
     * Returns the streams of calls.
     *
     * @param service  the service
     * @param capacity calls a second that the slots can serve
     * @param millis   length, in milliseconds
     * @return the streams
     */
    List<LoadSpec> loads(String service, double capacity, long millis) {
        return List.of(spec(service, capacity * utilisation, 0, millis));
    }

    /**
     * Afflicts a server, a third into the load.
     *
     * @param cluster the deployment
     * @param server  the server
     */
    void afflict(Cluster cluster, BackendServer server) {
        // nothing happens
    }

    /**
     * Ends the affliction.
     *
     * @param server the server
     */
    void relieve(BackendServer server) {
        server.setBehaviour(
                server.behaviour().withSlowFactor(1).withFailFast(false).withNoisePhaseMillis(0));
        server.resume();
    }

    /**
     * Creates a stream of calls.
     *
     * @param service    the service
     * @param perSecond  calls a second
     * @param fromMillis start, in milliseconds
     * @param toMillis   end, in milliseconds
     * @return the stream
     */
    private static LoadSpec spec(String service, double perSecond, long fromMillis, long toMillis) {
        return new LoadSpec(service, perSecond, 0, ANSWER_BYTES, DEADLINE_MILLIS, fromMillis, toMillis);
    }
}
