package io.mustardusher.keys;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.mustardusher.claim.ClaimGroup;
import io.mustardusher.generated.ClaimGroupRecord;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.schema.Schema;
import io.mustardusher.store.Row;
import io.mustardusher.store.TableService;
import io.mustardusher.store.Transaction;

/** The rows that name the keepers of each service. */
public final class KeeperStore {

    /** Prefix of the rows. */
    private static final String PREFIX = "keepers/";

    private final TableService table;

    /**
     * Creates a store.
     *
     * @param table the table service
     */
    public KeeperStore(TableService table) {
        this.table = table;
    }

    /**
     * Reads the keepers of a service.
     *
     * @param service name of the service
     * @return the keepers, or empty before the first
     */
    public CompletableFuture<Optional<Versioned>> read(String service) {
        return table.read(PREFIX + service).thenApply(row -> row.map(KeeperStore::parse));
    }

    /**
     * Writes the keepers of a service.
     *
     * @param group   the keepers
     * @param version version of the row that this replaces; 0 for the first
     * @return {@code false} if another write came first
     */
    public CompletableFuture<Boolean> write(ClaimGroup group, long version) {
        String key = PREFIX + group.service();
        Transaction transaction = Transaction.builder()
                .expect(key, version)
                .put(key, Schema.write(group.toRecord()))
                .build();
        return table.commit(transaction).thenApply(committed -> committed != Transaction.ABSENT);
    }

    /**
     * Parses a row.
     *
     * @param row the row
     * @return the keepers
     */
    private static Versioned parse(Row row) {
        try {
            ClaimGroupRecord value = Schema.mapper().readValue(row.value(), ClaimGroupRecord.class);
            return new Versioned(ClaimGroup.from(value), row.version());
        } catch (JsonProcessingException e) {
            throw new MustardusherException(ResultCode.STORE_UNAVAILABLE, "malformed row " + row.key(), e);
        }
    }

    /**
     * The keepers with the version of their row.
     *
     * @param group   the keepers
     * @param version version of the row
     */
    public record Versioned(ClaimGroup group, long version) {}
}
