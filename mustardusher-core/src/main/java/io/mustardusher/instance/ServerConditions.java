package io.mustardusher.instance;

/**
 * Conditions under which a backend server accepts calls, as it states them in its answers.
 *
 * @param maxCallsPerSecond maximum rate of calls from all nodes together; infinite if the server states none
 * @param leaving           whether the server is about to end and must not receive new calls
 */
public record ServerConditions(double maxCallsPerSecond, boolean leaving) {

    /** Conditions of a server that states none. */
    public static final ServerConditions NONE = new ServerConditions(Double.POSITIVE_INFINITY, false);

    /**
     * Returns whether the server limits the rate of calls.
     *
     * @return {@code true} if it does
     */
    public boolean isLimited() {
        return maxCallsPerSecond < Double.POSITIVE_INFINITY;
    }
}
