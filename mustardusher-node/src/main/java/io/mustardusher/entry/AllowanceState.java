package io.mustardusher.entry;

/**
 * Allowance of a limited account as one node sees it. Calls are those that arrived at this node since the start of its
 * process.
 *
 * @param account       name of the account
 * @param ratePerSecond calls per second that all nodes together serve for the account
 * @param burst         calls that may be served in addition to the rate after a pause
 * @param granted       number of calls admitted
 * @param refused       number of calls refused because the account was above its limit
 * @param unanswered    number of calls refused because no coordinator answered
 * @param coordinator   node that grants the tokens of the account, as this node sees it; {@code null} if none is known
 * @param heldShare     sum of the shares of the account that this node holds as a coordinator, from 0 to 1
 */
public record AllowanceState(
        String account,
        double ratePerSecond,
        double burst,
        long granted,
        long refused,
        long unanswered,
        String coordinator,
        double heldShare) {}
