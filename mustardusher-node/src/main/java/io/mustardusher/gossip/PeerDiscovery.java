package io.mustardusher.gossip;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.ContactSchedule;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.schema.JsonTree;
import io.mustardusher.store.Row;
import io.mustardusher.store.TableService;
import io.mustardusher.store.Transaction;
import io.mustardusher.time.Clock;
import io.netty.util.NetUtil;

/**
 * Finds other nodes of the deployment. Each node has a row in the table service, which it writes at its start and
 * removes at its end; the seed addresses from the settings are used as well, so that nodes find each other while the
 * table service is not available. Gossip detects failures.
 */
public final class PeerDiscovery {

    /** Interval between two calls of {@link #tick()}, in milliseconds. */
    public static final long INTERVAL_MILLIS = 2_000;

    /** Interval at which a starting node calls {@link #retryContacts()}, in milliseconds. */
    public static final long RETRY_INTERVAL_MILLIS = 50;

    /** Key prefix of the rows. */
    private static final String ROW_PREFIX = "nodes/";

    /** Maximum number of rows read at once: what the table service returns at most. */
    private static final int SCAN_LIMIT = 500;

    /**
     * Average number of rounds between two discoveries of a node, to which the number of members is added. The sum
     * keeps all nodes together below one discovery per round, whatever the size of the cluster.
     */
    private static final int BASE_ROUNDS = 15;

    /** Time after a scan during which none is made at random, so that a start takes one scan, in nanoseconds. */
    private static final long MIN_RANDOM_SCAN_INTERVAL_NANOS = 10_000 * Clock.NANOS_PER_MILLI;

    /** Maximum number of nodes of this failure domain whose full member tables are requested. */
    private static final int MAX_LOCAL_CONTACTS = 3;

    /** Maximum number of nodes of other failure domains that this node announces itself to. */
    private static final int MAX_REMOTE_CONTACTS = 2;

    /** Maximum number of nodes of this failure domain that are tried. */
    private static final int MAX_LOCAL_CANDIDATES = MAX_LOCAL_CONTACTS * ContactSchedule.CANDIDATES_PER_CONTACT;

    /** Maximum number of nodes of other failure domains that are tried if this domain has others. */
    private static final int MAX_REMOTE_CANDIDATES = MAX_REMOTE_CONTACTS * ContactSchedule.CANDIDATES_PER_CONTACT;

    private final TableService table;

    private final List<InetSocketAddress> seeds;

    private final MemberTable members;

    private final Gossiper gossiper;

    private final Clock clock;

    /** Selects the start of a scan and the nodes to contact. */
    private final Random random;

    /** Generation of the table service in which the row of this node was written; negative if it was not written. */
    private volatile long registeredGeneration = -1;

    /** Number of rows found by the last complete scan; 0 before the first. */
    private volatile int registeredNodes;

    /** Time at which the last scan began, in nanoseconds. */
    private volatile long lastScanNanos;

    /** Nodes to contact in this failure domain and in others; {@code null} before the first scan. */
    private volatile List<Contacts> contacts;

    /**
     * Creates a discovery.
     *
     * @param table    the table service
     * @param seeds    addresses from the settings
     * @param members  the cluster membership
     * @param gossiper contacts nodes
     * @param clock    source of time
     * @param random   selects the start of a scan and the nodes to contact
     */
    public PeerDiscovery(
            TableService table,
            List<InetSocketAddress> seeds,
            MemberTable members,
            Gossiper gossiper,
            Clock clock,
            Random random) {
        this.table = table;
        this.seeds = seeds;
        this.members = members;
        this.gossiper = gossiper;
        this.clock = clock;
        this.lastScanNanos = clock.nanoTime();
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
        lastScanNanos = clock.nanoTime();
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
            if (local.size() > MAX_LOCAL_CANDIDATES && remote.size() >= MAX_REMOTE_CANDIDATES) {
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
        contacts = List.of(
                new Contacts(new ContactSchedule(clock, MAX_LOCAL_CONTACTS, local), gossiper::requestFullTable),
                new Contacts(
                        new ContactSchedule(clock, remoteContacts, remote),
                        alone ? gossiper::requestFullTable : gossiper::announceTo));
        return contactDue(contacts);
    }

    private CompletableFuture<Void> contactDue(List<Contacts> due) {
        return CompletableFuture.allOf(due.stream().map(this::contactDue).toArray(CompletableFuture<?>[]::new));
    }

    private CompletableFuture<Void> contactDue(Contacts due) {
        Stream<CompletableFuture<Void>> results = due.schedule.takeDue(activeAddresses()).stream()
                .map(address -> due.request.apply(address).thenCompose(answered -> {
                    due.schedule.recordResult(address, answered);
                    return answered ? CompletableFuture.completedFuture(null) : contactDue(due);
                }));
        return CompletableFuture.allOf(results.toArray(CompletableFuture<?>[]::new));
    }

    private Set<InetSocketAddress> activeAddresses() {
        return members.members().stream()
                .filter(member -> MemberState.of(member).isActive())
                .map(CatalogueReplica::frameAddress)
                .collect(Collectors.toSet());
    }

    /**
     * Contacts nodes again that could not be reached, if it is time to.
     *
     * @return whether nodes are left to be contacted, or are not known yet
     */
    public boolean retryContacts() {
        List<Contacts> current = contacts;
        if (current == null) {
            return true;
        }
        contactDue(current);
        return current.stream().anyMatch(range -> !range.schedule.isDone());
    }

    /**
     * Registers this node if it is not registered yet, and discovers peers if no other active member is known,
     * otherwise at random. The probability falls with the number of members, which bounds the load on the table service
     * by all nodes together. The table service is not read again while nodes found before are still being contacted.
     * Does nothing once the node is leaving. Called every {@value #INTERVAL_MILLIS} ms.
     */
    public void tick() {
        int memberCount = members.members().size();
        boolean alone = members.randomMembers(1, "").isEmpty();
        boolean due = clock.nanoTime() - lastScanNanos >= MIN_RANDOM_SCAN_INTERVAL_NANOS
                && random.nextInt(BASE_ROUNDS + memberCount) == 0;
        boolean leaving = MemberState.of(members.self()) != MemberState.ALIVE;
        if (leaving) {
            return;
        }
        register();
        List<Contacts> current = contacts;
        boolean contacting = current != null && current.stream().anyMatch(range -> !range.schedule.isDone());
        if (alone && !contacting || due) {
            discover();
        }
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
     * Contacts in one range.
     *
     * @param schedule decides which nodes to contact
     * @param request  contacts a node; completes with whether it has responded
     */
    private record Contacts(
            ContactSchedule schedule, Function<InetSocketAddress, CompletableFuture<Boolean>> request) {}

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
                    && boot.isIntegralNumber()
                    && boot.canConvertToLong();
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
