package io.mustardusher.evacuation;

import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The failure domains to whose backend servers no calls are sent, as of one revision of the operator's table.
 *
 * @param revision revision of the table
 * @param domains  names of the evacuated failure domains
 */
public record EvacuationOrders(Revision revision, SortedSet<String> domains) {

    /** No orders, with a revision below those of all tables. */
    public static final EvacuationOrders NONE = new EvacuationOrders(Revision.NONE, new TreeSet<>());

    /** Copies the domains. */
    public EvacuationOrders {
        domains = Collections.unmodifiableSortedSet(new TreeSet<>(domains));
    }

    /**
     * Creates orders.
     *
     * @param revision revision of the table
     * @param domains  names of the evacuated failure domains
     * @return the orders
     */
    public static EvacuationOrders of(Revision revision, Collection<String> domains) {
        return new EvacuationOrders(revision, new TreeSet<>(domains));
    }

    /**
     * Returns whether a failure domain is evacuated.
     *
     * @param domain name of the failure domain; {@code null} for none
     * @return {@code true} if it is
     */
    public boolean isEvacuated(String domain) {
        return domain != null && domains.contains(domain);
    }

    /**
     * Merges these orders with others.
     *
     * @param other the other orders
     * @return the orders of the higher revision; these if the revisions are equal
     */
    public EvacuationOrders merge(EvacuationOrders other) {
        return other.revision.compareTo(revision) > 0 ? other : this;
    }

    /**
     * Revision of the operator's table. Versions are comparable only within one generation of the table service.
     *
     * @param generation number that increases when the table service is restored from a copy
     * @param version    version of the table service
     */
    public record Revision(long generation, long version) implements Comparable<Revision> {

        /** Revision before the first. */
        public static final Revision NONE = new Revision(0, 0);

        @Override
        public int compareTo(Revision other) {
            int byGeneration = Long.compare(generation, other.generation);
            return byGeneration == 0 ? Long.compare(version, other.version) : byGeneration;
        }
    }
}
