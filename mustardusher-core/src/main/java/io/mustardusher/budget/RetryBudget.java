package io.mustardusher.budget;

/** Bounds the further sends of one service to a part of its requests. */
public interface RetryBudget {

    /**
     * Counts a request.
     *
     * @param percent further sends that it allows, in hundredths
     */
    void earn(int percent);

    /**
     * Takes one further send.
     *
     * @return {@code true} if the budget allows it
     */
    boolean trySpend();
}
