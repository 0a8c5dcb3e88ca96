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

/** Reads and writes the claim groups of services, one row of the table service for each. */
public final class KeeperStore {

    /** Prefix of the row keys, followed by the name of the service. */
    private static final String KEY_PREFIX = "keepers/";

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
     * Reads the claim group of a service.
     *
     * @param service name of the service
     * @return the group, or empty if none was written yet
     */
    public CompletableFuture<Optional<Versioned>> read(String service) {
        return table.read(KEY_PREFIX + service).thenApply(row -> row.map(KeeperStore::parse));
    }

    /**
     * Writes the claim group of a service, unless its row has changed in the meantime.
     *
     * @param group   the group
     * @param version expected version of the row; 0 if there must be no row
     * @return {@code false} if the row has another version
     */
    public CompletableFuture<Boolean> write(ClaimGroup group, long version) {
        String key = KEY_PREFIX + group.service();
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
     * @return the group and the version of the row
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
     * A claim group with the version of its row.
     *
     * @param group   the group
     * @param version version of the row, as expected by the next write
     */
    public record Versioned(ClaimGroup group, long version) {}
}
