package io.mustardusher.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Set of writes that is applied atomically if all conditions hold, and not at all otherwise.
 *
 * @param conditions versions that rows must have for the transaction to be applied
 * @param writes     rows to write or to delete
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {

    /** Version of a row that is absent. */
    public static final long ABSENT = 0;

    /**
     * Creates a builder of a transaction without conditions and writes.
     *
     * @return the builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Condition that a row has a given version.
     *
     * @param key     key of the row
     * @param version expected version, or {@link #ABSENT}
     */
    public record Condition(String key, long version) {}

    /**
     * Write or deletion of one row.
     *
     * @param key   key of the row
     * @param value new value of the row, or {@code null} to delete the row
     */
    public record Write(String key, String value) {}

    /** Builds a transaction. */
    public static final class Builder {

        private final List<Condition> conditions = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();

        /**
         * Adds the condition that a row has a given version.
         *
         * @param key     key of the row
         * @param version expected version, or {@link Transaction#ABSENT}
         * @return this builder
         */
        public Builder expect(String key, long version) {
            conditions.add(new Condition(key, version));
            return this;
        }

        /**
         * Adds a write of a row.
         *
         * @param key   key of the row
         * @param value new value of the row
         * @return this builder
         */
        public Builder put(String key, String value) {
            writes.add(new Write(key, value));
            return this;
        }

        /**
         * Adds a deletion of a row.
         *
         * @param key key of the row
         * @return this builder
         */
        public Builder delete(String key) {
            writes.add(new Write(key, null));
            return this;
        }

        /**
         * Creates the transaction.
         *
         * @return the transaction
         */
        public Transaction build() {
            return new Transaction(List.copyOf(conditions), List.copyOf(writes));
        }
    }
}
