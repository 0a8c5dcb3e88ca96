package io.mustardusher.account;

/**
 * Name of a client account.
 *
 * @param value the name as a string
 */
public record AccountName(String value) {

    /**
     * Creates a name.
     *
     * @param value the name as a string
     * @return the name
     */
    public static AccountName of(String value) {
        return new AccountName(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
