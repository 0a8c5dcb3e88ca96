package io.mustardusher.gossip;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.mustardusher.generated.DepartureRecord;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.Departures;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.schema.JsonTree;
import io.mustardusher.store.Row;
import io.mustardusher.store.TableService;
import io.mustardusher.store.Transaction;
import io.mustardusher.time.Clock;

/**
 * Stores the departures of the backend server beside this node so that they outlive its process: in the table service,
 * and at other nodes in the record of this node. Either is sufficient, so that a departure can be confirmed while the
 * table service or the other nodes cannot be reached.
 */
public final class DepartureLog {

    /** Interval between two calls of {@link #tick()}, in milliseconds. */
    public static final long INTERVAL_MILLIS = 100;

    /** Number of members that a departure is sent to at once. */
    private static final int FANOUT = 8;

    /** Interval between two attempts to read the rows, in nanoseconds. */
    private static final long READ_INTERVAL_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Time after which other nodes suffice while the table service does not respond, in nanoseconds. */
    private static final long TABLE_TIMEOUT_NANOS = 300 * Clock.NANOS_PER_MILLI;

    /** Time after which a node that reaches neither believes announcements, in nanoseconds. */
    private static final long RESTORE_TIMEOUT_NANOS = 5_000 * Clock.NANOS_PER_MILLI;

    private static final String ROW_PREFIX = "departures/";

    private final TableService table;
    private final MemberTable members;
    private final Gossiper gossiper;
    private final Clock clock;
    private final CompletableFuture<Void> restored = new CompletableFuture<>();

    /** Whether each departure is stored; the latest last. Guarded by this instance. */
    private final Map<String, CompletableFuture<Void>> stored = new LinkedHashMap<>();

    /** Departures in the rows by their keys. Guarded by this instance. */
    private final Map<String, DepartureRecord> rows = new LinkedHashMap<>();

    private final long startNanos;
    private long lastReadNanos;
    private boolean reading;
    private boolean read;
    private boolean readFailed;

    /**
     * Creates a log that has not been read.
     *
     * @param table    the table service
     * @param members  the cluster membership
     * @param gossiper sends the record of this node to others
     * @param clock    source of time
     */
    public DepartureLog(TableService table, MemberTable members, Gossiper gossiper, Clock clock) {
        this.table = table;
        this.members = members;
        this.gossiper = gossiper;
        this.clock = clock;
        this.startNanos = clock.nanoTime();
        this.lastReadNanos = startNanos - READ_INTERVAL_NANOS;
    }

    /**
     * Stores a departure. One that is already stored is not written again.
     *
     * @param instance    name of the server
     * @param startMillis start time of the process, in milliseconds since the Unix epoch; 0 if it is unknown
     * @return completes when the departure is stored where it outlives this process, or fails if it cannot be
     */
    public CompletableFuture<Void> record(String instance, long startMillis) {
        CompletableFuture<Void> result = new CompletableFuture<>();
        Transaction write;
        synchronized (this) {
            DepartureRecord departure = new DepartureRecord()
                    .withInstance(instance)
                    .withStart(startMillis)
                    .withTime(clock.epochMillis());
            String process = processOf(departure);
            CompletableFuture<Void> earlier = stored.get(process);
            if (earlier != null && !earlier.isCompletedExceptionally()) {
                return earlier;
            }
            stored.remove(process);
            stored.put(process, result);
            if (stored.size() > Departures.MAX_LISTED) {
                stored.remove(stored.keySet().iterator().next());
            }
            members.addDepartures(List.of(departure));
            String key = keyOfOldestRow();
            rows.put(key, departure);
            write = Transaction.builder().put(key, format(departure)).build();
        }
        CompletableFuture<Boolean> atPeers = gossiper.replicateSelf(FANOUT);
        CompletableFuture<Boolean> inTable = table.commit(write).handle((version, failure) -> {
            if (failure != null) {
                NodeLog.LOG.storeFailed("departure", String.valueOf(failure.getMessage()));
            }
            return failure == null;
        });
        atPeers.thenAccept(success -> completeIf(success, result));
        inTable.thenAccept(success -> completeIf(success, result));
        atPeers.thenCombine(inTable, Boolean::logicalOr).thenAccept(success -> {
            if (!success) {
                NodeLog.LOG.departureNotStored(instance);
                result.completeExceptionally(
                        new IllegalStateException("neither the table service nor another node has stored it"));
            }
        });
        return result;
    }

    private static void completeIf(boolean success, CompletableFuture<Void> result) {
        if (success) {
            result.complete(null);
        }
    }

    /**
     * Returns a future for the departures that were stored by earlier processes of this node. They are then part of its
     * member record.
     *
     * @return completes when they are known, as far as they can be
     */
    public CompletableFuture<Void> restored() {
        return restored;
    }

    /**
     * Reads the rows unless they have been read. Called every {@value #INTERVAL_MILLIS} ms.
     *
     * @return whether the rows remain to be read, or other nodes to be awaited
     */
    public boolean tick() {
        boolean due;
        synchronized (this) {
            long now = clock.nanoTime();
            due = !read && !reading && now - lastReadNanos >= READ_INTERVAL_NANOS;
            if (due) {
                reading = true;
                lastReadNanos = now;
            }
        }
        if (due) {
            table.scan(rowPrefix(), "", Departures.MAX_LISTED).whenComplete(this::recordRead);
        }
        completeIfRestored();
        synchronized (this) {
            return !read || !restored.isDone();
        }
    }

    private void recordRead(List<Row> found, Throwable failure) {
        if (failure != null) {
            NodeLog.LOG.storeFailed("departures", String.valueOf(failure.getMessage()));
            endReading(false);
            return;
        }
        Map<String, DepartureRecord> departures = new LinkedHashMap<>();
        found.forEach(row -> parse(row).ifPresent(departure -> departures.put(row.key(), departure)));
        // Before anything is told that they are known.
        gossiper.learnDepartures(departures.values());
        synchronized (this) {
            departures.forEach(this::addRow);
        }
        endReading(true);
        completeIfRestored();
    }

    private synchronized void endReading(boolean success) {
        reading = false;
        read = success;
        readFailed = !success;
        lastReadNanos = clock.nanoTime();
    }

    private void addRow(String key, DepartureRecord departure) {
        if (rows.putIfAbsent(key, departure) == null) {
            stored.putIfAbsent(processOf(departure), CompletableFuture.completedFuture(null));
        }
    }

    private static String processOf(DepartureRecord departure) {
        return departure.getStart() + "/" + departure.getInstance();
    }

    // Other nodes need not be awaited once the rows are known: calls of theirs arrive only after an exchange of member
    // records, in which they report what the rows lack.
    private void completeIfRestored() {
        long elapsed = clock.nanoTime() - startNanos;
        boolean others = !members.randomMembers(1, "").isEmpty();
        boolean known;
        synchronized (this) {
            known = read
                    || others && (readFailed || elapsed >= TABLE_TIMEOUT_NANOS)
                    || elapsed >= RESTORE_TIMEOUT_NANOS;
        }
        if (known) {
            restored.complete(null);
        }
    }

    // The rows of a node are few and used in turn, so that none has to be deleted.
    private String keyOfOldestRow() {
        for (int slot = 0; slot < Departures.MAX_LISTED; slot++) {
            if (!rows.containsKey(rowPrefix() + slot)) {
                return rowPrefix() + slot;
            }
        }
        return rows.entrySet().stream()
                .min(Comparator.comparingLong(row -> row.getValue().getTime()))
                .orElseThrow()
                .getKey();
    }

    private String rowPrefix() {
        return ROW_PREFIX + members.self().getId() + "/";
    }

    private static String format(DepartureRecord departure) {
        return JsonTree.write(JsonTree.object()
                .put("instance", departure.getInstance())
                .put("start", departure.getStart())
                .put("time", departure.getTime()));
    }

    private static Optional<DepartureRecord> parse(Row row) {
        Optional<DepartureRecord> departure = parseTree(row).filter(MemberRecordValidator::isValid);
        if (departure.isEmpty()) {
            NodeLog.LOG.rowUnreadable(row.key(), "no departure");
        }
        return departure;
    }

    private static Optional<DepartureRecord> parseTree(Row row) {
        try {
            JsonNode tree = JsonTree.read(row.value());
            return Optional.of(new DepartureRecord()
                    .withInstance(tree.path("instance").textValue())
                    .withStart(tree.path("start").asLong(-1))
                    .withTime(tree.path("time").asLong(-1)));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
