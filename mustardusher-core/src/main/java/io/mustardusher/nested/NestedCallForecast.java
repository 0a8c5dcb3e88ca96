package io.mustardusher.nested;

import java.util.HashMap;
import java.util.Map;

import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.time.Clock;

/**
 * Forecasts by route whether the nested calls of a call would be accepted, from the nested calls that the calls of the
 * route made at the server beside this node. Calls of a route whose nested calls are unlikely to be accepted are
 * refused before they run, except for a fraction that shows when this changes. Thread-safe.
 */
public final class NestedCallForecast {

    /** Probability that all nested calls of a call are accepted below which calls of the route are refused. */
    private static final double MIN_SUCCESS = 0.25;

    /** Nested calls that must have been observed recently before calls are refused. */
    private static final double MIN_OBSERVED = 4;

    /** One in this many calls of a refused route runs. */
    private static final int PROBE_INTERVAL = 8;

    /** Time in which an observed nested call loses half of its weight, in nanoseconds. */
    private static final double HALF_LIFE_NANOS = 1e9;

    /** Weight below which the observations of a refused route have expired, so that its calls run again. */
    private static final double EXPIRED_WEIGHT = 0.1;

    /** Weight of a new sample of the number of nested calls. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private final Clock clock;
    private final Listener listener;
    private final Map<String, RouteForecast> routes = new HashMap<>();

    /**
     * Creates a forecast that refuses no calls.
     *
     * @param clock    source of time
     * @param listener notified when calls of a route begin or cease to be refused
     */
    public NestedCallForecast(Clock clock, Listener listener) {
        this.clock = clock;
        this.listener = listener;
    }

    /**
     * Records the nested calls of a call that ended.
     *
     * @param route  name of the call's route
     * @param nested nested calls by called service
     */
    synchronized void recordRun(String route, Map<ServiceName, RunningCall.NestedCalls> nested) {
        if (nested.isEmpty()) {
            return;
        }
        RouteForecast forecast = routes.computeIfAbsent(route, name -> new RouteForecast());
        long now = clock.nanoTime();
        nested.forEach((service, calls) -> forecast.services
                .computeIfAbsent(service, name -> new Observations(now))
                .record(calls, now));
        update(route, forecast, now);
    }

    /**
     * Decides whether a call is refused because its nested calls would be.
     *
     * @param route name of the call's route
     * @return {@code true} if it is refused
     */
    public synchronized boolean refuses(String route) {
        RouteForecast forecast = routes.get(route);
        if (forecast == null || !forecast.refusing) {
            return false;
        }
        update(route, forecast, clock.nanoTime());
        return forecast.refusing && ++forecast.arrivals % PROBE_INTERVAL != 0;
    }

    private void update(String route, RouteForecast forecast, long now) {
        boolean refused = forecast.refusing;
        forecast.update(now);
        if (forecast.refusing != refused) {
            listener.onChange(route, forecast.refusing);
        }
    }

    /** Receives the changes of routes. */
    @FunctionalInterface
    public interface Listener {

        /**
         * Called when calls of a route begin or cease to be refused. Must not call the forecast.
         *
         * @param route    name of the route
         * @param refusing whether its calls are refused
         */
        void onChange(String route, boolean refusing);
    }

    private static final class RouteForecast {

        private final Map<ServiceName, Observations> services = new HashMap<>();
        private boolean refusing;
        private int arrivals;

        void update(long now) {
            double success = 1;
            double weight = 0;
            for (Observations observations : services.values()) {
                observations.decay(now);
                success *= observations.success();
                weight += observations.weight();
            }
            refusing = success < MIN_SUCCESS && weight >= (refusing ? EXPIRED_WEIGHT : MIN_OBSERVED);
        }
    }

    /** Nested calls to one service. */
    private static final class Observations {

        private double accepted;
        private double refused;
        private long decayedNanos;

        /** Nested calls of a run in which none was refused; a run in which one was refused may have made fewer. */
        private double callsPerRun = 1;

        Observations(long now) {
            decayedNanos = now;
        }

        void record(RunningCall.NestedCalls calls, long now) {
            decay(now);
            accepted += calls.accepted();
            refused += calls.refused();
            if (calls.refused() == 0) {
                callsPerRun += SMOOTHING_FACTOR * (calls.accepted() - callsPerRun);
            }
        }

        void decay(long now) {
            double factor = Math.pow(0.5, (now - decayedNanos) / HALF_LIFE_NANOS);
            accepted *= factor;
            refused *= factor;
            decayedNanos = now;
        }

        double weight() {
            return accepted + refused;
        }

        double success() {
            return refused == 0 ? 1 : Math.pow(accepted / weight(), callsPerRun);
        }
    }
}
