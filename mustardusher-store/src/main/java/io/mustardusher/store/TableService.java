package io.mustardusher.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's transactional table service. Futures fail with
 * {@link io.mustardusher.result.MustardusherException}: with code {@code STORE_UNAVAILABLE} if the operation had no
 * effect, and with {@code CHANGE_UNRESOLVED} if a commit may have been applied or may yet be applied.
 */
public interface TableService {

    /**
     * Reads a row.
     *
     * @param key key of the row
     * @return the row, or empty if it is absent
     */
    CompletableFuture<Optional<Row>> read(String key);

    /**
     * Reads rows in the order of their keys.
     *
     * @param prefix prefix of the keys
     * @param after  key after which to start, exclusive; empty to start with the first key
     * @param limit  maximum number of rows to return
     * @return the rows
     */
    CompletableFuture<List<Row>> scan(String prefix, String after, int limit);

    /**
     * Commits a transaction if its conditions hold.
     *
     * @param transaction the transaction
     * @return version of the rows written, or {@link Transaction#ABSENT} if a condition does not hold
     */
    CompletableFuture<Long> commit(Transaction transaction);

    /**
     * Returns the generation of the table. It increases when the table is restored from an earlier copy: commits after
     * that copy are undone, and their versions are assigned again, so versions of different generations must not be
     * compared.
     *
     * @return generation according to the latest answer; 0 for a table that is never restored
     */
    default long generation() {
        return 0;
    }

    /** In-memory table that replaces the platform in tests and in the laboratory. */
    final class InMemory implements TableService {

        private final TreeMap<String, Row> rows = new TreeMap<>();

        private long generation;

        /** Number of the last successful commit, which is the version of its rows. */
        private long commits;

        private long reads;
        private long writes;

        @Override
        public synchronized CompletableFuture<Optional<Row>> read(String key) {
            reads++;
            return CompletableFuture.completedFuture(Optional.ofNullable(rows.get(key)));
        }

        @Override
        public synchronized CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
            reads++;
            List<Row> found = new ArrayList<>();
            String first = after.compareTo(prefix) > 0 ? after : prefix;
            for (Row row : rows.tailMap(first, true).values()) {
                if (!row.key().startsWith(prefix) || found.size() == limit) {
                    break;
                }
                if (!row.key().equals(after)) {
                    found.add(row);
                }
            }
            return CompletableFuture.completedFuture(found);
        }

        @Override
        public synchronized CompletableFuture<Long> commit(Transaction transaction) {
            writes++;
            boolean allHold = transaction.conditions().stream().allMatch(this::holds);
            if (!allHold) {
                return CompletableFuture.completedFuture(Transaction.ABSENT);
            }
            commits++;
            transaction.writes().forEach(this::apply);
            return CompletableFuture.completedFuture(commits);
        }

        @Override
        public synchronized long generation() {
            return generation;
        }

        /**
         * Returns a copy of the rows, to be restored later.
         *
         * @return the copy
         */
        public synchronized Copy copy() {
            return new Copy(Map.copyOf(rows), commits);
        }

        /**
         * Restores an earlier copy: undoes the commits after it, whose versions are assigned again.
         *
         * @param copy copy of this table
         */
        public synchronized void restore(Copy copy) {
            rows.clear();
            rows.putAll(copy.rows);
            commits = copy.commits;
            generation++;
        }

        /**
         * Returns the number of reads and scans.
         *
         * @return number of reads and scans since creation
         */
        public synchronized long reads() {
            return reads;
        }

        /**
         * Returns the number of commits, including those whose conditions did not hold.
         *
         * @return number of commits since creation
         */
        public synchronized long writes() {
            return writes;
        }

        private boolean holds(Transaction.Condition condition) {
            Row row = rows.get(condition.key());
            return condition.version() == (row == null ? Transaction.ABSENT : row.version());
        }

        private void apply(Transaction.Write write) {
            if (write.value() == null) {
                rows.remove(write.key());
            } else {
                rows.put(write.key(), new Row(write.key(), commits, write.value()));
            }
        }

        /**
         * The rows of a table at one moment.
         *
         * @param rows    rows by their keys
         * @param commits number of successful commits until then
         */
        public record Copy(Map<String, Row> rows, long commits) {}
    }
}
