package io.mustardusher.spread;

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
 * How nodes find each other at first: each has a row in the table service, written at its start and removed at its end;
 * the addresses in the settings serve when the table service does not answer. Liveness is left to gossip.
 */
public final class Meeting {

    /** Prefix of the rows. */
    private static final String PREFIX = "nodes/";

    /** Most rows read. */
    private static final int SCAN_LIMIT = 64;

    /** Nodes that are met. */
    private static final int MEET = 5;

    private final TableService table;

    /** Addresses from the settings. */
    private final List<InetSocketAddress> seeds;

    /** What is known of nodes. */
    private final MemberTable members;

    /** Meets nodes. */
    private final Gossiper gossiper;

    /** Source of random order. */
    private final Random random;

    private volatile boolean registered;

    /**
     * Creates a meeting.
     *
     * @param table    the table service
     * @param seeds    addresses from the settings
     * @param members  what is known of nodes
     * @param gossiper meets nodes
     * @param random   source of random order
     */
    public Meeting(
            TableService table, List<InetSocketAddress> seeds, MemberTable members, Gossiper gossiper, Random random) {
        this.table = table;
        this.seeds = seeds;
        this.members = members;
        this.gossiper = gossiper;
        this.random = random;
    }

    /**
     * Writes the address of this node, unless that was done.
     *
     * @return completes when the table service has answered
     */
    public CompletableFuture<Void> register() {
        if (registered) {
            return CompletableFuture.completedFuture(null);
        }
        MemberRecord self = members.self();
        Address address = new Address(self.getHost(), (int) self.getFramePort(), self.getBoot());
        Transaction write = Transaction.builder()
                .put(PREFIX + self.getId(), Schema.write(address))
                .build();
        CompletableFuture<Long> written = table.commit(write);
        written.thenRun(() -> registered = true);
        return settle(written, "register");
    }

    /**
     * Removes the row of a process.
     *
     * @param id   name of its node
     * @param boot start of the process
     * @return completes when the row is gone or belongs to another process, or that failed
     */
    public CompletableFuture<Void> unregister(String id, long boot) {
        CompletableFuture<Long> removed = table.read(PREFIX + id).thenCompose(row -> {
            boolean same = row.flatMap(Meeting::parse)
                    .filter(address -> address.boot == boot)
                    .isPresent();
            if (!same) {
                return CompletableFuture.completedFuture(Transaction.ABSENT);
            }
            return table.commit(Transaction.builder()
                    .expect(PREFIX + id, row.get().version())
                    .delete(PREFIX + id)
                    .build());
        });
        return settle(removed, "unregister");
    }

    /**
     * Meets some nodes from the table service and the settings.
     *
     * @return completes when they answered, or did not
     */
    public CompletableFuture<Void> meet() {
        String start = PREFIX + (char) ('0' + random.nextInt('z' - '0'));
        CompletableFuture<List<Row>> rows = table.scan(PREFIX, start, SCAN_LIMIT)
                .thenCompose(found -> found.size() == SCAN_LIMIT
                        ? CompletableFuture.completedFuture(found)
                        : table.scan(PREFIX, "", SCAN_LIMIT))
                .exceptionally(failure -> {
                    NodeLog.LOG.storeFailed("meet", String.valueOf(failure.getMessage()));
                    return List.of();
                });
        return rows.thenCompose(this::meetSome);
    }

    /**
     * Meets some nodes.
     *
     * @param rows rows of the table service
     * @return completes when they answered, or did not
     */
    private CompletableFuture<Void> meetSome(List<Row> rows) {
        MemberRecord self = members.self();
        InetSocketAddress own = new InetSocketAddress(self.getHost(), (int) self.getFramePort());
        List<InetSocketAddress> addresses = new ArrayList<>(seeds);
        rows.forEach(row ->
                parse(row).ifPresent(address -> addresses.add(new InetSocketAddress(address.host, address.framePort))));
        addresses.removeIf(own::equals);
        Collections.shuffle(addresses, random);
        List<CompletableFuture<Void>> met =
                addresses.stream().distinct().limit(MEET).map(gossiper::meet).toList();
        return CompletableFuture.allOf(met.toArray(new CompletableFuture<?>[0]));
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
     * Logs a failure and goes on.
     *
     * @param work  the work
     * @param doing what was asked
     * @return completes without failure
     */
    private static CompletableFuture<Void> settle(CompletableFuture<Long> work, String doing) {
        return work.handle((done, failure) -> {
            if (failure != null) {
                NodeLog.LOG.storeFailed(doing, String.valueOf(failure.getMessage()));
            }
            return null;
        });
    }

    /**
     * Where a node is met.
     *
     * @param host      IP number of the node
     * @param framePort TCP port for frames
     * @param boot      start of its process, in milliseconds since the epoch
     */
    private record Address(String host, int framePort, long boot) {}
}
