package io.mustardusher.model;

import io.mustardusher.time.Clock;

/** A backend server that noisy neighbours slow down, and that takes longer for each call when it is nearly full. */
final class SimulatedServer {

    /** Fraction of the slots beyond which calls take longer. */
    private static final double KNEE_FRACTION = 0.8;

    /** Factor by which calls take longer beyond the knee. */
    private static final double KNEE_FACTOR = 1.7;

    private static final int BASELINE_PERCENT = 100;

    private final Simulation simulation;
    private final LoadPattern pattern;
    private boolean slow;
    private int busy;

    SimulatedServer(Simulation simulation, LoadPattern pattern) {
        this.simulation = simulation;
        this.pattern = pattern;
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
     * Processes a call.
     *
     * @param workNanos processing time on an undisturbed server, in nanoseconds
     * @param whenDone  runs when the call is processed
     */
    void process(double workNanos, Runnable whenDone) {
        busy++;
        double crowding = busy > pattern.slots() * KNEE_FRACTION ? KNEE_FACTOR : 1;
        simulation.schedule(workNanos * crowding * slownessPercent() / BASELINE_PERCENT, () -> {
            busy--;
            whenDone.run();
        });
    }

    private void changeSpeed() {
        slow = simulation.random().nextDouble() < pattern.slowShare();
        double phase = 0.5 + simulation.random().nextDouble();
        simulation.schedule(pattern.slowPeriodMillis() * phase * Clock.NANOS_PER_MILLI, this::changeSpeed);
    }
}
