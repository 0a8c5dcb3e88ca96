package io.mustardusher.budget;

import io.mustardusher.catalogue.ServiceClass;

/** Limits the extra attempts of one service, such as retries and hedged requests, to a fraction of its requests. */
public interface RetryBudget {

    /**
     * Records an original request.
     *
     * @param percent extra attempts that the request adds to the budget, in hundredths of an attempt
     */
    void earn(int percent);

    /**
     * Records an original request of a class.
     *
     * @param percent      extra attempts that the request adds to the budget, in hundredths of an attempt
     * @param serviceClass class of the request
     */
    default void earn(int percent, ServiceClass serviceClass) {
        earn(percent);
    }

    /**
     * Spends one extra attempt if the budget allows it.
     *
     * @return {@code true} if it was spent, {@code false} if the budget is exhausted
     */
    default boolean trySpend() {
        return trySpend(1);
    }

    /**
     * Spends some extra attempts if the budget allows all of them, and none otherwise.
     *
     * @param attempts number of extra attempts
     * @return {@code true} if they were spent
     */
    boolean trySpend(int attempts);

    /**
     * Spends some extra attempts of a call if the budget allows all of them for its rank, and none otherwise.
     *
     * @param attempts number of extra attempts
     * @param rank     rank of the call
     * @return {@code true} if they were spent
     */
    default boolean trySpend(int attempts, SpendingRank rank) {
        return trySpend(attempts);
    }
}
