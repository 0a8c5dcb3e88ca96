package io.mustardusher.route;

import java.util.List;
import java.util.random.RandomGenerator;

import io.mustardusher.catalogue.ServiceName;

/** Where the requests of a route go. */
public interface Destination {

    /**
     * Chooses the service for the next request.
     *
     * @return the service
     */
    ServiceName next();

    /**
     * A single service.
     *
     * @param service the service
     */
    record Single(ServiceName service) implements Destination {

        @Override
        public ServiceName next() {
            return service;
        }
    }

    /** Several services in proportion to their weights, by smooth weighted round robin. */
    final class Split implements Destination {

        private final List<ServiceName> services;
        private final int[] weights;
        private final long[] credits;
        private final long total;

        private Split(List<Part> parts, RandomGenerator random) {
            services = parts.stream().map(Part::service).toList();
            weights = parts.stream().mapToInt(Part::weight).toArray();
            total = parts.stream().mapToLong(Part::weight).sum();
            credits = new long[weights.length];
            // Nodes start at different points of the rotation, or a short burst would go to the heaviest part alone.
            long skipped = random.nextLong(total);
            for (long i = 0; i < skipped; i++) {
                turn();
            }
        }

        /**
         * Creates a split.
         *
         * @param parts  the services and their weights; at least one weight is positive
         * @param random picks the point at which the rotation starts
         * @return the split
         */
        public static Split of(List<Part> parts, RandomGenerator random) {
            return new Split(parts, random);
        }

        @Override
        public ServiceName next() {
            return services.get(turn());
        }

        private synchronized int turn() {
            int best = -1;
            for (int i = 0; i < weights.length; i++) {
                credits[i] += weights[i];
                if (weights[i] > 0 && (best < 0 || credits[i] > credits[best])) {
                    best = i;
                }
            }
            credits[best] -= total;
            return best;
        }

        /**
         * One service of a split.
         *
         * @param service the service
         * @param weight  its weight, 0 or more
         */
        public record Part(ServiceName service, int weight) {}
    }
}
