package io.mustardusher.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.ChangeRecord;
import io.mustardusher.generated.RevisedEntry;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.schema.Schema;
import io.mustardusher.time.Clock;

/**
 * The catalogue in the table service. A change is one transaction that raises the revision, writes the entry, and
 * leaves a record under the change's id, so that its fate can be read back whoever asks.
 */
public final class CatalogueStore {

    /** Row of the catalogue's revision. */
    private static final String REVISION_KEY = "catalogue/revision";

    /** Prefix of the entries' rows. */
    private static final String ENTRY_PREFIX = "catalogue/entry/";

    /** Prefix of the changes' rows, by id. */
    private static final String CHANGE_PREFIX = "catalogue/change/";

    /** Prefix of the changes' rows, by revision. */
    private static final String HISTORY_PREFIX = "catalogue/history/";

    /** Value of the row of a change that can no longer take effect. */
    private static final String VOID = "{}";

    /** Tries of a change that loses only against changes of other entries. */
    private static final int MAX_TRIES = 8;

    /** Most rows of a scan. */
    private static final int SCAN_LIMIT = 1000;

    private final TableService table;

    private final Clock clock;

    /**
     * Creates a store.
     *
     * @param table the table service
     * @param clock source of time
     */
    public CatalogueStore(TableService table, Clock clock) {
        this.table = table;
        this.clock = clock;
    }

    /**
     * Reads the catalogue's revision.
     *
     * @return the revision; 0 before the first change
     */
    public CompletableFuture<Long> revision() {
        return table.read(REVISION_KEY).thenApply(row -> row.map(found -> Long.parseLong(found.value()))
                .orElse(0L));
    }

    /**
     * Reads the whole catalogue.
     *
     * @return every entry, removed ones included
     */
    public CompletableFuture<CatalogueDelta> load() {
        return revision().thenCompose(revision -> table.scan(ENTRY_PREFIX, "", SCAN_LIMIT)
                .thenApply(rows -> new CatalogueDelta()
                        .withSince(0)
                        .withRevision(revision)
                        .withEntries(rows.stream()
                                .map(row -> parse(row, RevisedEntry.class))
                                .toList())));
    }

    /**
     * Reads what changed after a revision.
     *
     * @param since the revision
     * @return the changed entries
     */
    public CompletableFuture<CatalogueDelta> since(long since) {
        return history(since, SCAN_LIMIT).thenApply(changes -> {
            long reached =
                    changes.isEmpty() ? since : changes.get(changes.size() - 1).getRevision();
            List<RevisedEntry> entries =
                    changes.stream().map(CatalogueStore::revised).toList();
            return new CatalogueDelta().withSince(since).withRevision(reached).withEntries(entries);
        });
    }

    /**
     * Reads changes in the order of their revisions.
     *
     * @param since revision after which to start
     * @param limit most changes to return
     * @return the changes
     */
    public CompletableFuture<List<ChangeRecord>> history(long since, int limit) {
        return table.scan(HISTORY_PREFIX, historyKey(since), limit)
                .thenApply(rows ->
                        rows.stream().map(row -> parse(row, ChangeRecord.class)).toList());
    }

    /**
     * Makes a change. A change whose id was accepted before is not made again. Where the table service does not say
     * whether the change took effect, its record is read back once.
     *
     * @param request the change
     * @return the record of the accepted change
     */
    public CompletableFuture<ChangeRecord> apply(ChangeRequest request) {
        return attempt(request, 1).exceptionallyCompose(failure -> {
            MustardusherException cause = unwrap(failure);
            if (cause.code() != ResultCode.CHANGE_UNRESOLVED) {
                return CompletableFuture.failedFuture(cause);
            }
            return find(request.change())
                    .handle((found, unread) ->
                            found != null && found.isPresent() ? found : Optional.<ChangeRecord>empty())
                    .thenCompose(found -> found.map(CompletableFuture::completedFuture)
                            .orElseGet(() -> CompletableFuture.failedFuture(cause)));
        });
    }

    /**
     * Settles the fate of a change. If no record of it exists, one is written that makes it void, so that a write still
     * under way cannot take effect later.
     *
     * @param change id of the change
     * @return the record of the change, or empty if it never takes effect
     */
    public CompletableFuture<Optional<ChangeRecord>> settle(String change) {
        String key = CHANGE_PREFIX + change;
        return table.read(key).thenCompose(row -> {
            if (row.isPresent()) {
                return CompletableFuture.completedFuture(record(row.get()));
            }
            Transaction voiding = Transaction.builder()
                    .expect(key, Transaction.ABSENT)
                    .put(key, VOID)
                    .build();
            return table.commit(voiding)
                    .thenCompose(version -> table.read(key))
                    .thenApply(written -> written.flatMap(CatalogueStore::record));
        });
    }

    /**
     * Reads the record of a change.
     *
     * @param change id of the change
     * @return the record, or empty if there is none or the change is void
     */
    private CompletableFuture<Optional<ChangeRecord>> find(String change) {
        return table.read(CHANGE_PREFIX + change).thenApply(row -> row.flatMap(CatalogueStore::record));
    }

    /**
     * Tries a change once.
     *
     * @param request the change
     * @param number  number of the try, from 1
     * @return the record of the accepted change
     */
    private CompletableFuture<ChangeRecord> attempt(ChangeRequest request, int number) {
        CompletableFuture<Optional<Row>> change = table.read(CHANGE_PREFIX + request.change());
        CompletableFuture<Optional<Row>> entry = table.read(ENTRY_PREFIX + request.service());
        CompletableFuture<Optional<Row>> revision = table.read(REVISION_KEY);
        return CompletableFuture.allOf(change, entry, revision).thenCompose(done -> {
            if (change.join().isPresent()) {
                return CompletableFuture.completedFuture(accepted(change.join().get()));
            }
            check(request, entry.join());
            ChangeRecord record = record(request, revision.join());
            Transaction transaction = transaction(record, entry.join(), revision.join());
            return table.commit(transaction).thenCompose(version -> {
                if (version != Transaction.ABSENT) {
                    return CompletableFuture.completedFuture(record);
                }
                if (number == MAX_TRIES) {
                    throw new MustardusherException(ResultCode.STORE_UNAVAILABLE, "too many racing changes");
                }
                return attempt(request, number + 1);
            });
        });
    }

    /**
     * Refuses a change that was decided on an entry other than the present one.
     *
     * @param request the change
     * @param entry   row of the present entry
     */
    private static void check(ChangeRequest request, Optional<Row> entry) {
        RevisedEntry present = entry.map(row -> parse(row, RevisedEntry.class)).orElse(null);
        boolean absent = present == null || present.getEntry() == null;
        long revision = absent ? 0 : present.getRevision();
        if (absent && request.entry().isEmpty()) {
            throw new MustardusherException(ResultCode.ENTRY_NOT_FOUND, "no entry " + request.service());
        }
        if (revision != request.ifRevision()) {
            throw new MustardusherException(
                    ResultCode.VERSION_CONFLICT,
                    "entry " + request.service() + " is at revision " + revision + ", not " + request.ifRevision()
                            + "; it reads " + Schema.write(absent ? "absent" : present.getEntry()));
        }
    }

    /**
     * Writes the record of a change.
     *
     * @param request  the change
     * @param revision row of the catalogue's revision
     * @return the record
     */
    private ChangeRecord record(ChangeRequest request, Optional<Row> revision) {
        long next = revision.map(row -> Long.parseLong(row.value())).orElse(0L) + 1;
        return new ChangeRecord()
                .withChange(request.change())
                .withService(request.service())
                .withRevision(next)
                .withAuthor(request.author())
                .withAcceptedAtMillis(clock.epochMillis())
                .withEntry(request.entry().orElse(null));
    }

    /**
     * Builds the transaction of a change.
     *
     * @param record   record of the change
     * @param entry    row of the present entry
     * @param revision row of the catalogue's revision
     * @return the transaction
     */
    private static Transaction transaction(ChangeRecord record, Optional<Row> entry, Optional<Row> revision) {
        String change = Schema.write(record);
        String changeKey = CHANGE_PREFIX + record.getChange();
        String entryKey = ENTRY_PREFIX + record.getService();
        return Transaction.builder()
                .expect(REVISION_KEY, version(revision))
                .expect(entryKey, version(entry))
                .expect(changeKey, Transaction.ABSENT)
                .put(REVISION_KEY, Long.toString(record.getRevision()))
                .put(entryKey, Schema.write(revised(record)))
                .put(changeKey, change)
                .put(historyKey(record.getRevision()), change)
                .build();
    }

    /**
     * Returns the version of a row.
     *
     * @param row the row
     * @return its version
     */
    private static long version(Optional<Row> row) {
        return row.map(Row::version).orElse(Transaction.ABSENT);
    }

    /**
     * Returns the entry that a change leaves.
     *
     * @param record record of the change
     * @return the entry with its revision
     */
    private static RevisedEntry revised(ChangeRecord record) {
        return new RevisedEntry()
                .withService(record.getService())
                .withRevision(record.getRevision())
                .withEntry(record.getEntry());
    }

    /**
     * Returns the key of a revision's row; keys sort as revisions do.
     *
     * @param revision the revision
     * @return the key
     */
    private static String historyKey(long revision) {
        return HISTORY_PREFIX + String.format("%012d", revision);
    }

    /**
     * Reads a row that is the record of a change made earlier.
     *
     * @param row the row
     * @return the record
     */
    private static ChangeRecord accepted(Row row) {
        return record(row)
                .orElseThrow(() -> new MustardusherException(
                        ResultCode.CHANGE_NOT_FOUND, "the change was made void by a question for its status"));
    }

    /**
     * Reads the row of a change.
     *
     * @param row the row
     * @return the record, or empty if the change is void
     */
    private static Optional<ChangeRecord> record(Row row) {
        return VOID.equals(row.value()) ? Optional.empty() : Optional.of(parse(row, ChangeRecord.class));
    }

    /**
     * Parses a row.
     *
     * @param row  the row
     * @param type type of its value
     * @param <T>  type of its value
     * @return the value
     */
    private static <T> T parse(Row row, Class<T> type) {
        try {
            return Schema.mapper().readValue(row.value(), type);
        } catch (JsonProcessingException e) {
            throw new MustardusherException(ResultCode.STORE_UNAVAILABLE, "malformed row " + row.key(), e);
        }
    }

    /**
     * Finds the coded exception in a failure.
     *
     * @param failure the failure
     * @return the exception
     */
    private static MustardusherException unwrap(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof MustardusherException coded
                ? coded
                : new MustardusherException(ResultCode.STORE_UNAVAILABLE, cause.toString(), cause);
    }
}
