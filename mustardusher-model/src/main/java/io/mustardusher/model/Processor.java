package io.mustardusher.model;

import io.mustardusher.admission.EventLoopDelay;
import io.mustardusher.time.Clock;

/** The processor of a node: runs tasks one after the other. Code that has not run often yet is slower. */
final class Processor {

    /** Number of tasks in which the additional cost of cold code falls by a factor of e. */
    private static final double COLD_TASKS = 150;

    private final Simulation simulation;
    private final double taskNanos;
    private final double coldFactor;
    private final EventLoopDelay delay;
    private long freeAtNanos;
    private int executed;

    /**
     * Creates an idle processor.
     *
     * @param simulation the simulation
     * @param taskNanos  duration of a task whose code is compiled, in nanoseconds
     * @param coldFactor factor by which the first task takes longer
     */
    Processor(Simulation simulation, double taskNanos, double coldFactor) {
        this.simulation = simulation;
        this.taskNanos = taskNanos;
        this.coldFactor = coldFactor;
        this.delay = new EventLoopDelay(simulation);
        scheduleSample();
    }

    /**
     * Runs a task once the earlier ones have ended.
     *
     * @param task the task
     */
    void run(Runnable task) {
        double factor = 1 + (coldFactor - 1) * Math.exp(-executed / COLD_TASKS);
        executed++;
        freeAtNanos = Math.max(freeAtNanos, simulation.nanoTime()) + (long) (taskNanos * factor);
        simulation.schedule(freeAtNanos - simulation.nanoTime(), task);
    }

    EventLoopDelay delay() {
        return delay;
    }

    private void scheduleSample() {
        long waitNanos = Math.max(0, freeAtNanos - simulation.nanoTime());
        simulation.schedule(EventLoopDelay.SAMPLE_INTERVAL_MILLIS * Clock.NANOS_PER_MILLI + waitNanos, () -> {
            delay.sample();
            scheduleSample();
        });
    }
}
