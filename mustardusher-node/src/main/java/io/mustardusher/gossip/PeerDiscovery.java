package io.mustardusher.gossip;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.schema.Schema;
import io.mustardusher.store.Row;
import io.mustardusher.store.TableService;
import io.mustardusher.store.Transaction;

/**
 * Finds other nodes of the deployment. Each node has a row in the table service, which it writes at its start and
 * removes at its end; the seed addresses from the settings are used as well, so that nodes find each other while the
 * table service is not available. Gossip detects failures.
 */
public final class PeerDiscovery {

    /** Key prefix of the rows. */
    private static final String ROW_PREFIX = "nodes/";

    /** Maximum number of rows read. */
    private static final int SCAN_LIMIT = 64;

    /** Maximum number of nodes contacted. */
    private static final int MAX_CONTACTED = 5;

    private final TableService table;

    private final List<InetSocketAddress> seeds;

    private final MemberTable members;

    private final Gossiper gossiper;

    /** Selects the start of a scan and the nodes to contact. */
    private final Random random;

    /** Generation of the table service in which the row of this node was written; negative if it was not written. */
    private volatile long registeredGeneration = -1;

    /**
     * Creates a discovery.
     *
     * @param table    the table service
     * @param seeds    addresses from the settings
     * @param members  the cluster membership
     * @param gossiper contacts nodes
     * @param random   selects the start of a scan and the nodes to contact
     */
    public PeerDiscovery(
            TableService table, List<InetSocketAddress> seeds, MemberTable members, Gossiper gossiper, Random random) {
        this.table = table;
        this.seeds = seeds;
        this.members = members;
        this.gossiper = gossiper;
        this.random = random;
    }

    /**
     * Writes the row of this node if it has not been written yet, or if the table service has been restored since then
     * from a copy, which may not contain it.
     *
     * @return completes when the table service has responded or failed
     */
    public CompletableFuture<Void> register() {
        long generation = table.generation();
        if (registeredGeneration == generation) {
            return CompletableFuture.completedFuture(null);
        }
        MemberRecord self = members.self();
        Address address = new Address(self.getHost(), (int) self.getFramePort(), self.getBoot());
        Transaction write = Transaction.builder()
                .put(ROW_PREFIX + self.getId(), Schema.write(address))
                .build();
        CompletableFuture<Long> written = table.commit(write);
        // Before the first answer the generation is unknown, and the one of the answer is that of the row.
        written.thenRun(() -> registeredGeneration = generation == 0 ? table.generation() : generation);
        return logFailure(written, "register");
    }

    /**
     * Removes the row of a process.
     *
     * @param id   id of the node
     * @param boot start time of the process, in milliseconds since the Unix epoch
     * @return completes when the row is removed or belongs to another process, or when the request has failed
     */
    public CompletableFuture<Void> unregister(String id, long boot) {
        CompletableFuture<Long> removed = table.read(ROW_PREFIX + id).thenCompose(row -> {
            boolean same = row.flatMap(PeerDiscovery::parse)
                    .filter(address -> address.boot == boot)
                    .isPresent();
            if (!same) {
                return CompletableFuture.completedFuture(Transaction.ABSENT);
            }
            return table.commit(Transaction.builder()
                    .expect(ROW_PREFIX + id, row.get().version())
                    .delete(ROW_PREFIX + id)
                    .build());
        });
        return logFailure(removed, "unregister");
    }

    /**
     * Contacts a few nodes from the table service and the settings.
     *
     * @return completes when all of them have responded or failed
     */
    public CompletableFuture<Void> discover() {
        String start = ROW_PREFIX + (char) ('0' + random.nextInt('z' - '0'));
        CompletableFuture<List<Row>> rows = table.scan(ROW_PREFIX, start, SCAN_LIMIT)
                .thenCompose(found -> found.size() == SCAN_LIMIT
                        ? CompletableFuture.completedFuture(found)
                        : table.scan(ROW_PREFIX, "", SCAN_LIMIT))
                .exceptionally(failure -> {
                    NodeLog.LOG.storeFailed("peer discovery", String.valueOf(failure.getMessage()));
                    return List.of();
                });
        return rows.thenCompose(this::contactSome);
    }

    /**
     * Contacts a few random nodes.
     *
     * @param rows rows of the table service
     * @return completes when all of them have responded or failed
     */
    private CompletableFuture<Void> contactSome(List<Row> rows) {
        MemberRecord self = members.self();
        InetSocketAddress own = new InetSocketAddress(self.getHost(), (int) self.getFramePort());
        List<InetSocketAddress> addresses = new ArrayList<>(seeds);
        rows.forEach(row ->
                parse(row).ifPresent(address -> addresses.add(new InetSocketAddress(address.host, address.framePort))));
        addresses.removeIf(own::equals);
        Collections.shuffle(addresses, random);
        List<CompletableFuture<Void>> contacts = addresses.stream()
                .distinct()
                .limit(MAX_CONTACTED)
                .map(gossiper::requestFullTable)
                .toList();
        return CompletableFuture.allOf(contacts.toArray(new CompletableFuture<?>[0]));
    }

    /**
     * Parses a row.
     *
     * @param row the row
     * @return the address, or empty if the row is malformed
     */
    private static Optional<Address> parse(Row row) {
        try {
            JsonNode tree = Schema.mapper().readTree(row.value());
            return Optional.of(new Address(
                    tree.path("host").asText(),
                    tree.path("framePort").asInt(),
                    tree.path("boot").asLong()));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /**
     * Logs a failure and completes normally.
     *
     * @param work      the operation
     * @param operation name of the operation, for the log
     * @return completes without failure
     */
    private static CompletableFuture<Void> logFailure(CompletableFuture<Long> work, String operation) {
        return work.handle((result, failure) -> {
            if (failure != null) {
                NodeLog.LOG.storeFailed(operation, String.valueOf(failure.getMessage()));
            }
            return null;
        });
    }

    /**
     * Address of a node.
     *
     * @param host      IP address of the node
     * @param framePort TCP port for frames
     * @param boot      start time of its process, in milliseconds since the Unix epoch
     */
    private record Address(String host, int framePort, long boot) {}
}
