package io.mustardusher.gossip;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.schema.JsonTree;
import io.mustardusher.store.Row;
import io.mustardusher.store.TableService;
import io.mustardusher.store.Transaction;
import io.netty.util.NetUtil;

/**
 * Finds other nodes of the deployment. Each node has a row in the table service, which it writes at its start and
 * removes at its end; the seed addresses from the settings are used as well, so that nodes find each other while the
 * table service is not available. Gossip detects failures.
 */
public final class PeerDiscovery {

    /** Key prefix of the rows. */
    private static final String ROW_PREFIX = "nodes/";

    /** Maximum number of rows read at once: what the table service returns at most. */
    private static final int SCAN_LIMIT = 500;

    /** Maximum number of nodes of this failure domain whose full member tables are requested. */
    private static final int MAX_LOCAL_CONTACTS = 3;

    /** Maximum number of nodes of other failure domains that this node announces itself to. */
    private static final int MAX_REMOTE_CONTACTS = 2;

    private final TableService table;

    private final List<InetSocketAddress> seeds;

    private final MemberTable members;

    private final Gossiper gossiper;

    /** Selects the start of a scan and the nodes to contact. */
    private final Random random;

    /** Generation of the table service in which the row of this node was written; negative if it was not written. */
    private volatile long registeredGeneration = -1;

    /** Number of rows found by the last complete scan; 0 before the first. */
    private volatile int registeredNodes;

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
        Address address = new Address(self.getHost(), (int) self.getFramePort(), self.getBoot(), domainOf(self));
        Transaction write = Transaction.builder()
                .put(ROW_PREFIX + self.getId(), JsonTree.write(address.toTree()))
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
     * Returns the number of nodes that have a row in the table service, running or not.
     *
     * @return the number as of the last scan that found all rows; 0 before the first
     */
    public int registeredNodes() {
        return registeredNodes;
    }

    /**
     * Contacts a few nodes from the table service and the settings.
     *
     * @return completes when all of them have responded or failed
     */
    public CompletableFuture<Void> discover() {
        CompletableFuture<List<Row>> rows = table.scan(ROW_PREFIX, "", SCAN_LIMIT)
                .thenCompose(found -> found.size() < SCAN_LIMIT
                        ? CompletableFuture.completedFuture(found)
                        : table.scan(ROW_PREFIX, randomStart(found), SCAN_LIMIT))
                .exceptionally(failure -> {
                    NodeLog.LOG.storeFailed("peer discovery", String.valueOf(failure.getMessage()));
                    return List.of();
                });
        return rows.thenCompose(found -> {
            boolean complete = !found.isEmpty() && found.size() < SCAN_LIMIT;
            registeredNodes = complete ? found.size() : registeredNodes;
            return contactSome(found);
        });
    }

    // Without it, nodes of a large deployment would contact the first ones only.
    private String randomStart(List<Row> first) {
        return random.nextBoolean()
                ? first.get(first.size() - 1).key()
                : ROW_PREFIX + members.self().getId();
    }

    /**
     * Contacts a few random nodes: requests the tables of some in this failure domain, and announces this node to some
     * in others. Without nodes in this domain, the others are asked for their tables.
     *
     * @param rows rows of the table service
     * @return completes when all of them have responded or failed
     */
    private CompletableFuture<Void> contactSome(List<Row> rows) {
        MemberRecord self = members.self();
        InetSocketAddress own = new InetSocketAddress(self.getHost(), (int) self.getFramePort());
        List<InetSocketAddress> local = new ArrayList<>();
        List<InetSocketAddress> remote = new ArrayList<>(seeds);
        List<Row> shuffled = new ArrayList<>(rows);
        Collections.shuffle(shuffled, random);
        Collections.shuffle(remote, random);
        for (Row row : shuffled) {
            if (local.size() >= MAX_LOCAL_CONTACTS && remote.size() >= MAX_REMOTE_CONTACTS) {
                break;
            }
            parse(row).ifPresent(address -> {
                boolean sameDomain = domainOf(self).equals(address.domain);
                (sameDomain ? local : remote).add(new InetSocketAddress(address.host, address.framePort));
            });
        }
        local.removeIf(own::equals);
        remote.removeIf(own::equals);
        boolean alone = local.isEmpty();
        int remoteContacts = alone ? MAX_LOCAL_CONTACTS + MAX_REMOTE_CONTACTS : MAX_REMOTE_CONTACTS;
        Stream<CompletableFuture<Void>> contacts = Stream.concat(
                local.stream().distinct().limit(MAX_LOCAL_CONTACTS).map(gossiper::requestFullTable),
                remote.stream()
                        .distinct()
                        .limit(remoteContacts)
                        .map(address -> alone ? gossiper.requestFullTable(address) : gossiper.announceTo(address)));
        return CompletableFuture.allOf(contacts.toArray(CompletableFuture<?>[]::new));
    }

    private static String domainOf(MemberRecord member) {
        return member.getRegion() + '/' + member.getDomain();
    }

    /**
     * Parses a row. A row that another program has written or damaged is logged and skipped.
     *
     * @param row the row
     * @return the address, or empty if the row is malformed
     */
    private static Optional<Address> parse(Row row) {
        Optional<Address> address = parseTree(row).flatMap(Address::of);
        if (address.isEmpty()) {
            NodeLog.LOG.rowUnreadable(row.key(), "no address of a node");
        }
        return address;
    }

    private static Optional<JsonNode> parseTree(Row row) {
        try {
            return Optional.of(JsonTree.read(row.value()));
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
     * @param domain    region and failure domain of the node; empty in rows of an earlier version
     */
    private record Address(String host, int framePort, long boot, String domain) {

        private static final int MAX_PORT = 65_535;

        ObjectNode toTree() {
            return JsonTree.object()
                    .put("host", host)
                    .put("framePort", framePort)
                    .put("boot", boot)
                    .put("domain", domain);
        }

        /**
         * Reads an address. The host has to be an IP address, because looking up a name would block the event loop.
         *
         * @param tree content of a row
         * @return the address, or empty if a field is missing, mistyped or out of range
         */
        static Optional<Address> of(JsonNode tree) {
            JsonNode host = tree.path("host");
            JsonNode port = tree.path("framePort");
            JsonNode boot = tree.path("boot");
            boolean valid = host.isTextual()
                    && NetUtil.createByteArrayFromIpAddressString(host.asText()) != null
                    && port.isIntegralNumber()
                    && port.canConvertToInt()
                    && port.asInt() > 0
                    && port.asInt() <= MAX_PORT
                    && boot.isIntegralNumber();
            return valid
                    ? Optional.of(new Address(
                            host.asText(),
                            port.asInt(),
                            boot.asLong(),
                            tree.path("domain").asText()))
                    : Optional.empty();
        }
    }
}
