package io.mustardusher.lab.standin;

import java.util.random.RandomGenerator;

/**
 * Service times and faults of a simulated backend server.
 *
 * @param serviceMillis     mean service time without faults, in milliseconds
 * @param slowFactor        factor on the service time
 * @param failFast          whether every request is answered with 503 at once, without the header that marks it as not
 *                          run
 * @param shedThreshold     number of calls at the server from which further ones are rejected and marked as not run; 0
 *                          to reject none
 * @param coldStartMillis   time after a start during which the service time is doubled, in milliseconds
 * @param noisePhaseMillis  length of a noisy neighbour's active phase, which triples the service time, and of the quiet
 *                          phase after it, in milliseconds; 0 for no noisy neighbour
 */
public record Behaviour(
        double serviceMillis,
        double slowFactor,
        boolean failFast,
        int shedThreshold,
        long coldStartMillis,
        long noisePhaseMillis) {

    /** Minimum service time, as a fraction of the mean. */
    private static final double MIN_FRACTION_OF_MEAN = 0.5;

    /** Factor on the service time during a cold start. */
    private static final double COLD_START_FACTOR = 2;

    /** Factor on the service time while the noisy neighbour is active. */
    private static final double NOISY_NEIGHBOUR_FACTOR = 3;

    /**
     * Creates a behaviour without faults.
     *
     * @param serviceMillis mean service time, in milliseconds
     * @return a behaviour with this mean and no faults
     */
    public static Behaviour of(double serviceMillis) {
        return new Behaviour(serviceMillis, 1, false, 0, 0, 0);
    }

    /**
     * Returns a copy with another factor on the service time.
     *
     * @param factor factor on the service time; 1 for no slowdown
     * @return the changed copy
     */
    public Behaviour withSlowFactor(double factor) {
        return new Behaviour(serviceMillis, factor, failFast, shedThreshold, coldStartMillis, noisePhaseMillis);
    }

    /**
     * Returns a copy that fails fast or doesn't.
     *
     * @param value whether every request is answered with 503 at once
     * @return the changed copy
     */
    public Behaviour withFailFast(boolean value) {
        return new Behaviour(serviceMillis, slowFactor, value, shedThreshold, coldStartMillis, noisePhaseMillis);
    }

    /**
     * Returns a copy with another threshold for load shedding.
     *
     * @param calls number of calls at the server from which further ones are rejected; 0 to reject none
     * @return the changed copy
     */
    public Behaviour withShedThreshold(int calls) {
        return new Behaviour(serviceMillis, slowFactor, failFast, calls, coldStartMillis, noisePhaseMillis);
    }

    /**
     * Returns a copy with a cold start of another duration.
     *
     * @param millis duration of the cold start, in milliseconds; 0 for none
     * @return the changed copy
     */
    public Behaviour withColdStartMillis(long millis) {
        return new Behaviour(serviceMillis, slowFactor, failFast, shedThreshold, millis, noisePhaseMillis);
    }

    /**
     * Returns a copy with another noisy neighbour.
     *
     * @param millis length of each active and each quiet phase, in milliseconds; 0 for no noisy neighbour
     * @return the changed copy
     */
    public Behaviour withNoisePhaseMillis(long millis) {
        return new Behaviour(serviceMillis, slowFactor, failFast, shedThreshold, coldStartMillis, millis);
    }

    /**
     * Draws a service time from a shifted exponential distribution: half of the mean is fixed, the other half is the
     * mean of the exponential part. The factors of the active faults are applied to the sum.
     *
     * @param random       source of randomness
     * @param uptimeMillis time since the server started, in milliseconds
     * @return service time, in microseconds
     */
    long serviceMicros(RandomGenerator random, long uptimeMillis) {
        double relativeTime = MIN_FRACTION_OF_MEAN - (1 - MIN_FRACTION_OF_MEAN) * Math.log(1 - random.nextDouble());
        double factor = slowFactor;
        if (uptimeMillis < coldStartMillis) {
            factor *= COLD_START_FACTOR;
        }
        if (noisePhaseMillis > 0 && uptimeMillis / noisePhaseMillis % 2 == 0) {
            factor *= NOISY_NEIGHBOUR_FACTOR;
        }
        return (long) (serviceMillis * relativeTime * factor * 1000);
    }
}
