package io.mustardusher.account;

import java.util.OptionalInt;

/**
 * A client account of one version of the configuration.
 *
 * @param name          name of the account
 * @param priority      priority of the account's requests, which precedes that of their routes; 0 is the highest
 * @param ratePerSecond requests per second that all nodes together serve for the account; 0 for no limit
 * @param burst         requests that may be served in addition to the rate after a pause
 */
public record Account(AccountName name, OptionalInt priority, double ratePerSecond, double burst) {

    /**
     * Returns whether the number of the account's requests is limited.
     *
     * @return {@code true} if it is
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
