package io.mustardusher.account;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;

/** Immutable table of the client accounts of one version of the configuration. Keys are held as digests only. */
public final class AccountTable {

    /** Table of a configuration without accounts: requests need no key, and their headers are not examined. */
    public static final AccountTable DISABLED = new AccountTable(new Builder(), false);

    private final boolean enabled;
    private final Map<AccountName, Account> accounts;
    private final Map<KeyDigest, Account> accountsByKey;
    private final int unreadable;

    private AccountTable(Builder builder, boolean enabled) {
        this.enabled = enabled;
        accounts = Map.copyOf(builder.accounts);
        accountsByKey = Map.copyOf(builder.accountsByKey);
        unreadable = builder.unreadable;
    }

    /**
     * Creates a builder of a table for a configuration with accounts.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns whether the configuration has accounts, so that requests to routes that are not public need a key.
     *
     * @return {@code true} if it has a list of accounts, even an empty one
     */
    public boolean isEnabled() {
        return enabled;
    }

    /**
     * Finds the account of a key.
     *
     * @param key digest of the key
     * @return the account, or empty if no readable account has the key
     */
    public Optional<Account> find(KeyDigest key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /**
     * Returns the account of a key.
     *
     * @param key digest of the key
     * @return the account
     * @throws MustardusherException with {@link ResultCode#ACCOUNT_UNKNOWN} if no account has the key, or
     *     {@link ResultCode#ACCOUNT_UNREADABLE} if an account that could not be read may have it
     */
    public Account require(KeyDigest key) {
        return find(key).orElseThrow(this::unknownKey);
    }

    /**
     * Finds an account by its name.
     *
     * @param name name of the account
     * @return the account, or empty if no readable account has the name
     */
    public Optional<Account> find(AccountName name) {
        return Optional.ofNullable(accounts.get(name));
    }

    /**
     * Returns all accounts.
     *
     * @return the accounts, in no particular order
     */
    public Collection<Account> accounts() {
        return accounts.values();
    }

    /**
     * Returns the number of accounts that could not be read.
     *
     * @return number of unreadable accounts
     */
    public int unreadable() {
        return unreadable;
    }

    /**
     * Counts the keys of an earlier version that this one has removed.
     *
     * @param earlier table of the earlier version
     * @return number of keys that belong to no account any more
     */
    public int revokedSince(AccountTable earlier) {
        return (int) earlier.accountsByKey.keySet().stream()
                .filter(key -> !accountsByKey.containsKey(key))
                .count();
    }

    private MustardusherException unknownKey() {
        return unreadable > 0
                ? new MustardusherException(ResultCode.ACCOUNT_UNREADABLE, "an account could not be read")
                : new MustardusherException(ResultCode.ACCOUNT_UNKNOWN, "no account has the key of the request");
    }

    /** Builder of an {@link AccountTable}. */
    public static final class Builder {

        private final Map<AccountName, Account> accounts = new LinkedHashMap<>();
        private final Map<KeyDigest, Account> accountsByKey = new HashMap<>();
        private int unreadable;

        private Builder() {}

        /**
         * Returns whether an account was added under a name.
         *
         * @param name the name
         * @return {@code true} if it was
         */
        public boolean contains(AccountName name) {
            return accounts.containsKey(name);
        }

        /**
         * Adds an account. A key that already belongs to another account stays with that one.
         *
         * @param account the account, with a name that no other account has
         * @param keys    digests of its keys
         * @return number of keys that belong to another account
         */
        public int add(Account account, List<KeyDigest> keys) {
            accounts.put(account.name(), account);
            return (int) keys.stream()
                    .filter(key -> {
                        Account owner = accountsByKey.putIfAbsent(key, account);
                        return owner != null && owner != account;
                    })
                    .count();
        }

        /**
         * Adds an account that could not be read. While there is one, it is not known whether an unknown key is its.
         *
         * @return this builder
         */
        public Builder addUnreadable() {
            unreadable++;
            return this;
        }

        /**
         * Builds the table.
         *
         * @return the table
         */
        public AccountTable build() {
            return new AccountTable(this, true);
        }
    }
}
