package io.mustardusher.model;

import io.mustardusher.time.Clock;

/** A backend server that noisy neighbours slow down, and that may take longer for each call when it is nearly full. */
final class SimulatedServer {

    /** Fraction of the slots beyond which calls take longer. */
    private static final double KNEE_FRACTION = 0.8;

    /** Factor by which calls take longer on a server that has just started. */
    private static final double COLD_FACTOR = 2;

    /** Time for which a server is cold after its start, in nanoseconds. */
    private static final long COLD_NANOS = 3_000 * Clock.NANOS_PER_MILLI;

    private static final int BASELINE_PERCENT = 100;

    private final Simulation simulation;
    private final LoadPattern pattern;
    private final String service;
    private boolean slow;
    private int busy;
    private int starts = 1;
    private long coldUntilNanos;

    SimulatedServer(Simulation simulation, LoadPattern pattern, String service) {
        this.simulation = simulation;
        this.pattern = pattern;
        this.service = service;
        if (pattern.slowShare() > 0) {
            changeSpeed();
        }
    }

    /**
     * Returns the processing time of a call that starts now, as a percentage of that on an undisturbed server.
     *
     * @return the percentage
     */
    int slownessPercent() {
        return slow ? (int) (BASELINE_PERCENT * pattern.slowFactor()) : BASELINE_PERCENT;
    }

    /**
     * Decides whether the server refuses a call, whatever its load.
     *
     * @return {@code true} if it does
     */
    boolean refuses() {
        double share = pattern.refusedShare(service, simulation);
        return share > 0 && simulation.random().nextDouble() < share;
    }

    /**
     * Holds the slot of a call that has been processed while its nested calls are made.
     *
     * @return frees the slot
     */
    Runnable hold() {
        busy++;
        int start = starts;
        return () -> busy -= start == starts ? 1 : 0;
    }

    /**
     * Processes a call.
     *
     * @param workNanos processing time on an undisturbed server, in nanoseconds
     * @param whenDone  runs when the call is processed
     */
    void process(double workNanos, Runnable whenDone) {
        busy++;
        double crowding = busy > pattern.slots() * KNEE_FRACTION ? pattern.nearlyFullFactor() : 1;
        double cold = simulation.nanoTime() < coldUntilNanos ? COLD_FACTOR : 1;
        int start = starts;
        simulation.schedule(workNanos * crowding * cold * slownessPercent() / BASELINE_PERCENT, () -> {
            if (start == starts) {
                busy--;
                if (simulation.random().nextDouble() >= pattern.lostAnswerShare(simulation)) {
                    whenDone.run();
                }
            }
        });
    }

    /**
     * Returns the number of calls that the server is processing.
     *
     * @return number of calls
     */
    int busy() {
        return busy;
    }

    /** Ends all calls without an answer and starts cold. */
    void restart() {
        starts++;
        busy = 0;
        coldUntilNanos = simulation.nanoTime() + COLD_NANOS;
    }

    private void changeSpeed() {
        slow = simulation.random().nextDouble() < pattern.slowShare();
        double phase = 0.5 + simulation.random().nextDouble();
        simulation.schedule(pattern.slowPeriodMillis() * phase * Clock.NANOS_PER_MILLI, this::changeSpeed);
    }
}
