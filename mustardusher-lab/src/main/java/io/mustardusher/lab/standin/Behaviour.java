package io.mustardusher.lab.standin;

import java.util.random.RandomGenerator;

/**
 * How a backend server behaves.
 *
 * @param serviceMillis mean service time, in milliseconds
 * @param slowFactor    factor of the service time
 * @param failFast      whether every request is answered 503 at once, without a mark that it was not run
 * @param shedAbove     calls at the server above which it sheds with a mark; 0 for never
 * @param coldMillis    time after the start in which the service time is doubled, in milliseconds
 * @param noiseMillis   period of a noisy neighbour that triples the service time half of the time; 0 for none
 */
public record Behaviour(
        double serviceMillis, double slowFactor, boolean failFast, int shedAbove, long coldMillis, long noiseMillis) {

    /** Share of the mean that every call takes at least. */
    private static final double FLOOR = 0.5;

    /** Factor of the service time in a cold start. */
    private static final double COLD_FACTOR = 2;

    /** Factor of the service time while the neighbour is noisy. */
    private static final double NOISE_FACTOR = 3;

    /**
     * Creates a behaviour without faults.
     *
     * @param serviceMillis mean service time, in milliseconds
     * @return the behaviour
     */
    public static Behaviour of(double serviceMillis) {
        return new Behaviour(serviceMillis, 1, false, 0, 0, 0);
    }

    /**
     * Returns this behaviour with another factor of the service time.
     *
     * @param factor the factor
     * @return the behaviour
     */
    public Behaviour withSlowFactor(double factor) {
        return new Behaviour(serviceMillis, factor, failFast, shedAbove, coldMillis, noiseMillis);
    }

    /**
     * Returns this behaviour with or without failing fast.
     *
     * @param value whether every request is answered 503 at once
     * @return the behaviour
     */
    public Behaviour withFailFast(boolean value) {
        return new Behaviour(serviceMillis, slowFactor, value, shedAbove, coldMillis, noiseMillis);
    }

    /**
     * Returns this behaviour with another limit above which it sheds.
     *
     * @param calls the limit
     * @return the behaviour
     */
    public Behaviour withShedAbove(int calls) {
        return new Behaviour(serviceMillis, slowFactor, failFast, calls, coldMillis, noiseMillis);
    }

    /**
     * Returns this behaviour with a cold start.
     *
     * @param millis its length, in milliseconds
     * @return the behaviour
     */
    public Behaviour withColdMillis(long millis) {
        return new Behaviour(serviceMillis, slowFactor, failFast, shedAbove, millis, noiseMillis);
    }

    /**
     * Returns this behaviour with a noisy neighbour.
     *
     * @param millis its period, in milliseconds
     * @return the behaviour
     */
    public Behaviour withNoiseMillis(long millis) {
        return new Behaviour(serviceMillis, slowFactor, failFast, shedAbove, coldMillis, millis);
    }

    /**
     * Draws a service time: half of the mean, and an exponential part with the other half as its mean.
     *
     * @param random       source of random times
     * @param uptimeMillis time since the start, in milliseconds
     * @return service time in microseconds
     */
    long serviceMicros(RandomGenerator random, long uptimeMillis) {
        double shape = FLOOR - (1 - FLOOR) * Math.log(1 - random.nextDouble());
        double factor = slowFactor;
        if (uptimeMillis < coldMillis) {
            factor *= COLD_FACTOR;
        }
        if (noiseMillis > 0 && uptimeMillis / noiseMillis % 2 == 0) {
            factor *= NOISE_FACTOR;
        }
        return (long) (serviceMillis * shape * factor * 1000);
    }
}
