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
 * Catalogue stored in the table service. A change is one transaction that increments the revision, writes the entry and
 * adds a record under the identifier of the change, from which any node can read whether the change was applied.
 */
public final class CatalogueStore {

    /** Key of the row with the catalogue's revision. */
    private static final String REVISION_KEY = "catalogue/revision";

    /** Prefix of the keys of entries. */
    private static final String ENTRY_PREFIX = "catalogue/entry/";

    /** Prefix of the keys of change records by identifier. */
    private static final String CHANGE_PREFIX = "catalogue/change/";

    /** Prefix of the keys of change records by revision. */
    private static final String HISTORY_PREFIX = "catalogue/history/";

    /** Record of a change that was voided before it was applied, and can no longer be applied. */
    private static final String VOID_RECORD = "{}";

    /** Maximum number of attempts of a change that conflicts only with concurrent changes of other entries. */
    private static final int MAX_ATTEMPTS = 8;

    /** Maximum number of rows that a scan returns. */
    private static final int SCAN_LIMIT = 1000;

    private final TableService table;
    private final Clock clock;

    /**
     * Creates a store of the catalogue.
     *
     * @param table table service that contains the catalogue
     * @param clock source of time
     */
    public CatalogueStore(TableService table, Clock clock) {
        this.table = table;
        this.clock = clock;
    }

    /**
     * Reads the catalogue's revision.
     *
     * @return revision of the catalogue; 0 before the first change
     */
    public CompletableFuture<Long> revision() {
        return table.read(REVISION_KEY).thenApply(row -> row.map(found -> Long.parseLong(found.value()))
                .orElse(0L));
    }

    /**
     * Reads the complete catalogue.
     *
     * @return all entries, including removed ones
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
     * Reads the entries that changed after a revision.
     *
     * @param since revision after which to start, exclusive
     * @return the changed entries, in the order of their revisions
     */
    public CompletableFuture<CatalogueDelta> since(long since) {
        return history(since, SCAN_LIMIT).thenApply(changes -> {
            long reached =
                    changes.isEmpty() ? since : changes.get(changes.size() - 1).getRevision();
            List<RevisedEntry> entries =
                    changes.stream().map(CatalogueStore::toRevisedEntry).toList();
            return new CatalogueDelta().withSince(since).withRevision(reached).withEntries(entries);
        });
    }

    /**
     * Reads changes in the order of their revisions.
     *
     * @param since revision after which to start, exclusive
     * @param limit maximum number of changes to return
     * @return records of the changes
     */
    public CompletableFuture<List<ChangeRecord>> history(long since, int limit) {
        return table.scan(HISTORY_PREFIX, historyKey(since), limit)
                .thenApply(rows ->
                        rows.stream().map(row -> parse(row, ChangeRecord.class)).toList());
    }

    /**
     * Applies a change. A change whose identifier was accepted before is not applied again. If the table service does
     * not report whether the change was committed, its record is read back once.
     *
     * @param request the change
     * @return record of the accepted change
     */
    public CompletableFuture<ChangeRecord> apply(ChangeRequest request) {
        return attempt(request, 1).exceptionallyCompose(failure -> {
            MustardusherException cause = toException(failure);
            if (cause.code() != ResultCode.CHANGE_UNRESOLVED) {
                return CompletableFuture.failedFuture(cause);
            }
            return findRecord(request.change())
                    .handle((found, readFailure) ->
                            found != null && found.isPresent() ? found : Optional.<ChangeRecord>empty())
                    .thenCompose(found -> found.map(CompletableFuture::completedFuture)
                            .orElseGet(() -> CompletableFuture.failedFuture(cause)));
        });
    }

    /**
     * Determines whether a change was applied. If it has no record, a record that voids it is written, so that a commit
     * that is still in progress fails.
     *
     * @param change identifier of the change
     * @return record of the change, or empty if the change was not applied and never will be
     */
    public CompletableFuture<Optional<ChangeRecord>> resolveChange(String change) {
        String key = CHANGE_PREFIX + change;
        return table.read(key).thenCompose(row -> {
            if (row.isPresent()) {
                return CompletableFuture.completedFuture(parseRecord(row.get()));
            }
            Transaction voiding = Transaction.builder()
                    .expect(key, Transaction.ABSENT)
                    .put(key, VOID_RECORD)
                    .build();
            return table.commit(voiding)
                    .thenCompose(version -> table.read(key))
                    .thenApply(written -> written.flatMap(CatalogueStore::parseRecord));
        });
    }

    private CompletableFuture<Optional<ChangeRecord>> findRecord(String change) {
        return table.read(CHANGE_PREFIX + change).thenApply(row -> row.flatMap(CatalogueStore::parseRecord));
    }

    /**
     * Attempts a change, and retries it if only other entries changed concurrently.
     *
     * @param request the change
     * @param number  number of the attempt, from 1
     * @return record of the accepted change
     */
    private CompletableFuture<ChangeRecord> attempt(ChangeRequest request, int number) {
        CompletableFuture<Optional<Row>> change = table.read(CHANGE_PREFIX + request.change());
        CompletableFuture<Optional<Row>> entry = table.read(ENTRY_PREFIX + request.service());
        CompletableFuture<Optional<Row>> revision = table.read(REVISION_KEY);
        return CompletableFuture.allOf(change, entry, revision).thenCompose(ignored -> {
            if (change.join().isPresent()) {
                return CompletableFuture.completedFuture(
                        requireAccepted(change.join().get()));
            }
            checkRevision(request, entry.join());
            ChangeRecord record = newRecord(request, revision.join());
            Transaction transaction = newTransaction(record, entry.join(), revision.join());
            return table.commit(transaction).thenCompose(version -> {
                if (version != Transaction.ABSENT) {
                    return CompletableFuture.completedFuture(record);
                }
                if (number == MAX_ATTEMPTS) {
                    throw new MustardusherException(ResultCode.STORE_UNAVAILABLE, "too many racing changes");
                }
                return attempt(request, number + 1);
            });
        });
    }

    /**
     * Checks that the current entry has the revision that a change expects.
     *
     * @param request the change
     * @param entry   row of the current entry
     * @throws MustardusherException if the revision differs, or if the entry to remove does not exist
     */
    private static void checkRevision(ChangeRequest request, Optional<Row> entry) {
        RevisedEntry current = entry.map(row -> parse(row, RevisedEntry.class)).orElse(null);
        boolean absent = current == null || current.getEntry() == null;
        long revision = absent ? 0 : current.getRevision();
        if (absent && request.entry().isEmpty()) {
            throw new MustardusherException(ResultCode.ENTRY_NOT_FOUND, "no entry " + request.service());
        }
        if (revision != request.ifRevision()) {
            throw new MustardusherException(
                    ResultCode.VERSION_CONFLICT,
                    "entry " + request.service() + " is at revision " + revision + ", not " + request.ifRevision()
                            + "; it reads " + Schema.write(absent ? "absent" : current.getEntry()));
        }
    }

    private ChangeRecord newRecord(ChangeRequest request, Optional<Row> revision) {
        long next = revision.map(row -> Long.parseLong(row.value())).orElse(0L) + 1;
        return new ChangeRecord()
                .withChange(request.change())
                .withService(request.service())
                .withRevision(next)
                .withAuthor(request.author())
                .withAcceptedAtMillis(clock.epochMillis())
                .withEntry(request.entry().orElse(null));
    }

    private static Transaction newTransaction(ChangeRecord record, Optional<Row> entry, Optional<Row> revision) {
        String change = Schema.write(record);
        String changeKey = CHANGE_PREFIX + record.getChange();
        String entryKey = ENTRY_PREFIX + record.getService();
        return Transaction.builder()
                .expect(REVISION_KEY, version(revision))
                .expect(entryKey, version(entry))
                .expect(changeKey, Transaction.ABSENT)
                .put(REVISION_KEY, Long.toString(record.getRevision()))
                .put(entryKey, Schema.write(toRevisedEntry(record)))
                .put(changeKey, change)
                .put(historyKey(record.getRevision()), change)
                .build();
    }

    private static long version(Optional<Row> row) {
        return row.map(Row::version).orElse(Transaction.ABSENT);
    }

    private static RevisedEntry toRevisedEntry(ChangeRecord record) {
        return new RevisedEntry()
                .withService(record.getService())
                .withRevision(record.getRevision())
                .withEntry(record.getEntry());
    }

    /**
     * Returns the key of the change record of a revision. Keys sort in the order of revisions.
     *
     * @param revision revision that the change led to
     * @return key of the record
     */
    private static String historyKey(long revision) {
        return HISTORY_PREFIX + String.format("%012d", revision);
    }

    private static ChangeRecord requireAccepted(Row row) {
        return parseRecord(row)
                .orElseThrow(() -> new MustardusherException(
                        ResultCode.CHANGE_NOT_FOUND, "the change was made void by a question for its status"));
    }

    /**
     * Parses the record of a change.
     *
     * @param row row of the record
     * @return the record, or empty if the change was voided
     */
    private static Optional<ChangeRecord> parseRecord(Row row) {
        return VOID_RECORD.equals(row.value()) ? Optional.empty() : Optional.of(parse(row, ChangeRecord.class));
    }

    private static <T> T parse(Row row, Class<T> type) {
        try {
            return Schema.mapper().readValue(row.value(), type);
        } catch (JsonProcessingException e) {
            throw new MustardusherException(ResultCode.STORE_UNAVAILABLE, "malformed row " + row.key(), e);
        }
    }

    private static MustardusherException toException(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof MustardusherException coded
                ? coded
                : new MustardusherException(ResultCode.STORE_UNAVAILABLE, cause.toString(), cause);
    }
}
