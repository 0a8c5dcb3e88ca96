package io.mustardusher.route;

import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

import io.mustardusher.catalogue.ServiceName;

/** The service or services that receive the requests of a route. */
public interface Destination {

    /**
     * Chooses the service for the next request.
     *
     * @return the service
     */
    ServiceName next();

    /**
     * Sends every request to the same service.
     *
     * @param service the service
     */
    record Single(ServiceName service) implements Destination {

        @Override
        public ServiceName next() {
            return service;
        }
    }

    /** Distributes requests over several services in proportion to their weights, by smooth weighted round robin. */
    final class Split implements Destination {

        /** Maximum length of a rotation, which bounds the time to find its starting point. */
        private static final int MAX_ROTATION = 10_000;

        private final List<ServiceName> services;
        private final long[] weights;
        private final long[] currentWeights;
        private final long total;

        private Split(List<WeightedService> weightedServices, RandomGenerator random) {
            services = weightedServices.stream().map(WeightedService::service).toList();
            weights = toWholeNumbers(weightedServices.stream()
                    .mapToDouble(WeightedService::weight)
                    .toArray());
            total = Arrays.stream(weights).sum();
            currentWeights = new long[weights.length];
            // Nodes start at different points of the rotation. Otherwise, a short burst of requests would go to the
            // service with the highest weight alone.
            long skipped = random.nextLong(total);
            for (long i = 0; i < skipped; i++) {
                nextIndex();
            }
        }

        /**
         * Creates a distribution over services.
         *
         * @param weightedServices the services with their weights; at least one weight is above 0
         * @param random           chooses the point at which the rotation starts
         * @return the distribution
         */
        public static Split of(List<WeightedService> weightedServices, RandomGenerator random) {
            return new Split(weightedServices, random);
        }

        @Override
        public ServiceName next() {
            return services.get(nextIndex());
        }

        private static long[] toWholeNumbers(double[] weights) {
            double total = Arrays.stream(weights).sum();
            boolean exact =
                    total <= MAX_ROTATION && Arrays.stream(weights).allMatch(weight -> weight == Math.rint(weight));
            if (exact) {
                return Arrays.stream(weights).mapToLong(weight -> (long) weight).toArray();
            }
            return Arrays.stream(weights)
                    .mapToLong(weight -> weight > 0 ? Math.max(1, Math.round(weight / total * MAX_ROTATION)) : 0)
                    .toArray();
        }

        private synchronized int nextIndex() {
            int best = -1;
            for (int i = 0; i < weights.length; i++) {
                currentWeights[i] += weights[i];
                if (weights[i] > 0 && (best < 0 || currentWeights[i] > currentWeights[best])) {
                    best = i;
                }
            }
            currentWeights[best] -= total;
            return best;
        }

        /**
         * A service and its weight.
         *
         * @param service the service
         * @param weight  its weight, at least 0 and finite
         */
        public record WeightedService(ServiceName service, double weight) {}
    }
}
