package io.mustardusher.membership;

import io.mustardusher.generated.DistanceSettings;

/**
 * Identifies a failure domain: a set of nodes within a region that may fail together.
 *
 * @param region name of the region
 * @param name   name of the failure domain, unique within the region
 */
public record FailureDomain(String region, String name) {

    /**
     * Creates a failure domain.
     *
     * @param region name of the region
     * @param name   name of the failure domain within the region
     * @return the failure domain
     */
    public static FailureDomain of(String region, String name) {
        return new FailureDomain(region, name);
    }

    /**
     * Returns the configured network latency to another failure domain.
     *
     * @param other     the other failure domain
     * @param distances one-way latencies by distance, in microseconds
     * @return one-way latency, in microseconds
     */
    public long latencyMicrosTo(FailureDomain other, DistanceSettings distances) {
        if (!region.equals(other.region)) {
            return distances.getOtherRegion();
        }
        return name.equals(other.name) ? distances.getSameDomain() : distances.getSameRegion();
    }

    @Override
    public String toString() {
        return region + "/" + name;
    }
}
