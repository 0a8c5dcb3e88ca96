package io.mustardusher.budget;

/** Limits the extra attempts of one service, such as retries and hedged requests, to a fraction of its requests. */
public interface RetryBudget {

    /**
     * Records an original request.
     *
     * @param percent extra attempts that the request adds to the budget, in hundredths of an attempt
     */
    void earn(int percent);

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
}
