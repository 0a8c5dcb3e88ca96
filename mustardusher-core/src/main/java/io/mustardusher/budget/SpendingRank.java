package io.mustardusher.budget;

import io.mustardusher.catalogue.ServiceClass;

/**
 * Rank by which a call may use a retry budget.
 *
 * @param serviceClass class of the call
 * @param nested       whether a running request made the call, whose run is lost if the call fails
 */
public record SpendingRank(ServiceClass serviceClass, boolean nested) {

    /** Rank of a call that may use the whole budget. */
    public static final SpendingRank HIGHEST = new SpendingRank(ServiceClass.CRITICAL, false);
}
