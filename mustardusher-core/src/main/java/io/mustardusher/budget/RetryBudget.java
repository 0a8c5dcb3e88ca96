package io.mustardusher.budget;

/** Limits the extra sends of one service, such as retries and hedged requests, to a fraction of its requests. */
public interface RetryBudget {

    /**
     * Records an original request.
     *
     * @param percent extra sends that the request adds to the budget, in hundredths of a send
     */
    void earn(int percent);

    /**
     * Spends one extra send if the budget allows it.
     *
     * @return {@code true} if it was spent, {@code false} if the budget is exhausted
     */
    boolean trySpend();
}
