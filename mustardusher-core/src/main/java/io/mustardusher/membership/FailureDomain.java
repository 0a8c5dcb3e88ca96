package io.mustardusher.membership;

import io.mustardusher.generated.DistanceSettings;

/**
 * A failure domain.
 *
 * @param region its region
 * @param name   its name
 */
public record FailureDomain(String region, String name) {

    /**
     * Creates a failure domain.
     *
     * @param region its region
     * @param name   its name
     * @return the value
     */
    public static FailureDomain of(String region, String name) {
        return new FailureDomain(region, name);
    }

    /**
     * Returns the network time to another failure domain.
     *
     * @param other     the other failure domain
     * @param distances one-way network times
     * @return one-way time in microseconds
     */
    public long microsTo(FailureDomain other, DistanceSettings distances) {
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
