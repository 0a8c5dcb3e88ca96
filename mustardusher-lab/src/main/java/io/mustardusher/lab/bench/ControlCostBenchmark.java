package io.mustardusher.lab.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.claim.ClaimDecision;
import io.mustardusher.claim.ClaimGroup;
import io.mustardusher.claim.IdempotencyKey;
import io.mustardusher.claim.Keeper;
import io.mustardusher.claim.KeyLedger;
import io.mustardusher.claim.KeyedResult;
import io.mustardusher.frame.FrameCodec;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.CataloguePull;
import io.mustardusher.generated.ConfirmReply;
import io.mustardusher.generated.ConfirmRequest;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.generated.Gossip;
import io.mustardusher.generated.KeeperRecord;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.ProbeAnswer;
import io.mustardusher.generated.ProbeQuestion;
import io.mustardusher.generated.RevisedEntry;
import io.mustardusher.generated.SuspectRecord;
import io.mustardusher.generated.WitnessReply;
import io.mustardusher.generated.WitnessRequest;
import io.mustardusher.membership.GossipRange;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;

/**
 * Measures how the cost of control data grows with its amount: heap per member, entry and key, bytes and processor time
 * of a gossip round, and rounds until a change has reached all nodes. Uses the production data structures without a
 * network; the propagation of changes is simulated.
 */
public final class ControlCostBenchmark {

    /** Maximum number of member records in one gossip message, as in {@code Gossiper}. */
    private static final int MAX_UPDATES = 10;

    /** Number of nodes to which each node pushes a revision, as in {@code CatalogueReplica}. */
    private static final int PUSH_FANOUT = 3;

    /** Number of members to which a node immediately sends a change of its own record, as in {@code NodeCore}. */
    private static final int CHANGE_FANOUT = 8;

    /** Number of copies over which the heap of a structure is averaged. */
    private static final int HEAP_COPIES = 40;

    /** Largest number of keys for which a ledger is measured. */
    private static final int MAX_KEYS = 50_000;

    /** Number of measured gossip rounds; as many unmeasured ones precede them as a warm-up. */
    private static final int GOSSIP_ROUNDS = 20_000;

    /** Cluster sizes to measure, in nodes. */
    private final List<Integer> sizes;

    /** Stream to which the tables are printed. */
    private final PrintStream out;

    /** Manual clock that is never advanced. */
    private final Clock.Manual clock = new Clock.Manual();

    /** Provides the processor time of the current thread. */
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

    /**
     * Creates a benchmark.
     *
     * @param sizes cluster sizes to measure, in nodes
     * @param out   stream to which the tables are printed
     */
    public ControlCostBenchmark(List<Integer> sizes, PrintStream out) {
        this.sizes = sizes;
        this.out = out;
    }

    /** Runs all measurements and prints a table for each. */
    public void run() {
        out.println("| members | heap of a table, B/member | quiet message, B | full message, B | round, us cpu"
                + " | rounds until all know a change | messages for it per node | whole table page, B |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        sizes.forEach(this::measureMemberTables);
        out.println();
        out.println("| entries | heap, B/entry | delta of one, B | delta of all, B | merge of one, us cpu |");
        out.println("| --- | --- | --- | --- | --- |");
        List.of(13, 130, 1300).forEach(this::measureCatalogues);
        out.println();
        out.println("| nodes | reached by push alone, % | pushes per node | longest path |");
        out.println("| --- | --- | --- | --- |");
        sizes.forEach(this::simulatePush);
        out.println();
        out.println("| keys | heap at home, B/key | heap at witness, B/key | claim and end, us cpu |");
        out.println("| --- | --- | --- | --- |");
        List.of(MAX_KEYS / 10, MAX_KEYS / 2, MAX_KEYS).forEach(this::measureLedgers);
        out.println();
        out.println("| frame | question, B | answer, B |");
        out.println("| --- | --- | --- |");
        printFrameSizes();
    }

    /** Prints the encoded sizes of typical requests and responses of each kind of frame. */
    private void printFrameSizes() {
        KeeperRecord keeper = new Keeper("service-17-node-1017", 1_700_000_000_000L, "region-3/domain-11").toRecord();
        printFrameSize(
                FrameKind.CONFIRM,
                new ConfirmRequest().withService("service-17").withEpoch(1_000).withFrom(keeper),
                new ConfirmReply().withEpoch(1_000).withConfirmed(true));
        printFrameSize(
                FrameKind.WITNESS,
                new WitnessRequest()
                        .withService("service-17")
                        .withKey("018bcfe5-8dac-7c50-a101-1c0ed689068f")
                        .withEpoch(1_000)
                        .withAttempt(100_000)
                        .withHome("service-17-node-1017@1700000000000")
                        .withBody(Long.MAX_VALUE),
                new WitnessReply()
                        .withVerdict(WitnessReply.Verdict.RECORDED)
                        .withEpoch(1_000)
                        .withCoveredSince(1_700_000_000_000L));
        printFrameSize(
                FrameKind.PROBE,
                new ProbeQuestion().withService("service-17"),
                new ProbeAnswer().withAnswered(true).withLoad("17,3,17,8123,0"));
        printFrameSize(
                FrameKind.PULL,
                new CataloguePull().withSince(123_456),
                new CatalogueDelta().withSince(123_456).withRevision(123_456));
        printFrameSize(
                FrameKind.SUSPECT,
                new SuspectRecord().withFingerprint(Long.MAX_VALUE).withCrash(Long.MAX_VALUE),
                new SuspectRecord().withFingerprint(Long.MAX_VALUE).withCrash(Long.MAX_VALUE));
    }

    /**
     * Prints the encoded sizes of a request and its response.
     *
     * @param kind     kind of frame
     * @param request  body of the request
     * @param response body of the response
     */
    private void printFrameSize(FrameKind kind, Object request, Object response) {
        out.printf(
                "| %s | %d | %d |%n",
                kind.name().toLowerCase(java.util.Locale.ROOT),
                FrameCodec.sizeOf(request),
                FrameCodec.sizeOf(response));
    }

    /**
     * Measures heap, message sizes and processor time of member tables of a size, and prints a row.
     *
     * @param size number of members
     */
    private void measureMemberTables(int size) {
        List<MemberRecord> records = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            records.add(record(i));
        }
        List<MemberTable> tables = new ArrayList<>();
        double heap = measureHeapBytes(() -> {
            for (int i = 0; i < HEAP_COPIES; i++) {
                MemberTable copy = new MemberTable(record(i), clock, new Random(i));
                List<MemberRecord> copyRecords = new ArrayList<>();
                for (int j = 0; j < size; j++) {
                    copyRecords.add(record(j));
                }
                copy.merge(copyRecords);
                tables.add(copy);
            }
            return tables;
        });
        MemberTable table = tables.get(0);
        while (!table.nextUpdates(MAX_UPDATES, GossipRange.DOMAIN, List.of()).isEmpty()) {
            // discards all pending updates, so that rounds are measured in the steady state
        }
        Gossip quiet = message(List.of());
        Gossip full = message(records.subList(0, MAX_UPDATES));
        Gossip page = message(table.randomPage(400));
        out.printf(
                "| %d | %.0f | %d | %d | %.1f | %s | %d |%n",
                size,
                heap / HEAP_COPIES / size,
                FrameCodec.sizeOf(quiet),
                FrameCodec.sizeOf(full),
                roundMicros(table, full),
                simulateGossip(size),
                FrameCodec.sizeOf(page));
    }

    /**
     * Measures the processor time of one gossip round at one node: it encodes a message and merges a received one.
     *
     * @param table    member table of the node
     * @param received message that is merged in each round
     * @return processor time in microseconds
     */
    private double roundMicros(MemberTable table, Gossip received) {
        long startNanos = 0;
        for (int i = 0; i < 2 * GOSSIP_ROUNDS; i++) {
            if (i == GOSSIP_ROUNDS) {
                startNanos = threads.getCurrentThreadCpuTime();
            }
            table.expire();
            table.nextProbeTarget();
            Gossip sent = message(table.nextUpdates(MAX_UPDATES, GossipRange.DOMAIN, List.of()));
            FrameCodec.sizeOf(sent);
            table.merge(received.getMembers());
        }
        return (threads.getCurrentThreadCpuTime() - startNanos) / 1000.0 / GOSSIP_ROUNDS;
    }

    /**
     * Simulates the propagation of a change of one record, with the same rule as {@link MemberTable#nextUpdates}:
     * a node that has received the change includes it in a bounded number of messages, requests and replies alike.
     *
     * @param size number of nodes
     * @return number of rounds, and messages per node, as two cells of the table
     */
    private static String simulateGossip(int size) {
        Random random = new Random(size);
        int limit = 3 * (Integer.SIZE - Integer.numberOfLeadingZeros(size));
        int[] remainingSends = new int[size];
        BitSet informed = new BitSet(size);
        inform(informed, remainingSends, 0, limit);
        for (int i = 0; i < CHANGE_FANOUT; i++) {
            inform(informed, remainingSends, random.nextInt(size), limit);
        }
        int rounds = 0;
        long messages = 0;
        while (informed.cardinality() < size && rounds < 1_000) {
            rounds++;
            for (int node = 0; node < size; node++) {
                int peer = random.nextInt(size);
                messages++;
                boolean inRequest = informed.get(node) && remainingSends[node]-- > 0;
                boolean inReply = informed.get(peer) && remainingSends[peer]-- > 0;
                if (inRequest) {
                    inform(informed, remainingSends, peer, limit);
                }
                if (inReply) {
                    inform(informed, remainingSends, node, limit);
                }
            }
        }
        return rounds + " | " + messages / size;
    }

    /**
     * Marks a node as informed of the change.
     *
     * @param informed       nodes that have received the change
     * @param remainingSends number of messages in which each node still includes the change
     * @param node           node that receives the change
     * @param limit          number of messages in which a node includes the change
     */
    private static void inform(BitSet informed, int[] remainingSends, int node, int limit) {
        if (!informed.get(node)) {
            informed.set(node);
            remainingSends[node] = limit;
        }
    }

    /**
     * Measures heap, message sizes and merge time of catalogues of a size, and prints a row.
     *
     * @param size number of entries
     */
    private void measureCatalogues(int size) {
        List<Catalogue> copies = new ArrayList<>();
        double heap = measureHeapBytes(() -> {
            for (int i = 0; i < HEAP_COPIES; i++) {
                copies.add(Catalogue.EMPTY.merge(delta(size)));
            }
            return copies;
        });
        Catalogue catalogue = copies.get(0);
        CatalogueDelta change =
                new CatalogueDelta().withSince(size).withRevision(size + 1).withEntries(List.of(entry(0, size + 1)));
        long startNanos = 0;
        int rounds = 2_000;
        for (int i = 0; i < 2 * rounds; i++) {
            if (i == rounds) {
                startNanos = threads.getCurrentThreadCpuTime();
            }
            catalogue.merge(change);
        }
        double micros = (threads.getCurrentThreadCpuTime() - startNanos) / 1000.0 / rounds;
        out.printf(
                "| %d | %.0f | %d | %d | %.1f |%n",
                size, heap / HEAP_COPIES / size, FrameCodec.sizeOf(change), FrameCodec.sizeOf(delta(size)), micros);
    }

    /**
     * Simulates the push of a revision through the cluster and prints a row. A node pushes only the first time it
     * receives the revision.
     *
     * @param size number of nodes
     */
    private void simulatePush(int size) {
        Random random = new Random(size);
        BitSet reached = new BitSet(size);
        List<Integer> senders = new ArrayList<>(List.of(0));
        reached.set(0);
        long pushes = 0;
        int steps = 0;
        while (!senders.isEmpty()) {
            List<Integer> nextSenders = new ArrayList<>();
            for (int ignored : senders) {
                for (int i = 0; i < PUSH_FANOUT; i++) {
                    int peer = random.nextInt(size);
                    pushes++;
                    if (!reached.get(peer)) {
                        reached.set(peer);
                        nextSenders.add(peer);
                    }
                }
            }
            steps += nextSenders.isEmpty() ? 0 : 1;
            senders = nextSenders;
        }
        out.printf(
                "| %d | %.1f | %.2f | %d |%n",
                size, 100.0 * reached.cardinality() / size, pushes / (double) size, steps);
    }

    /**
     * Measures heap and processor time of key ledgers of a size, and prints a row.
     *
     * @param size number of keys
     */
    private void measureLedgers(int size) {
        Keeper homeKeeper = new Keeper("a", 1, "x");
        Keeper witnessKeeper = new Keeper("b", 1, "y");
        ClaimGroup group = ClaimGroup.create("s", homeKeeper).withKeeper(witnessKeeper);
        KeyLedger<byte[]> home = new KeyLedger<>(homeKeeper, clock, 600_000, answer -> answer.length);
        KeyLedger<byte[]> witness = new KeyLedger<>(witnessKeeper, clock, 600_000, answer -> answer.length);
        home.applyGroup(group, 1, clock.nanoTime());
        witness.applyGroup(group, 1, clock.nanoTime());
        Random random = new Random(size);
        List<IdempotencyKey> keys = new ArrayList<>();
        while (keys.size() < size) {
            IdempotencyKey key = IdempotencyKey.generate(clock, random);
            if (group.current().pairFor(key).home().equals(homeKeeper)) {
                keys.add(key);
            }
        }
        List<ClaimDecision<byte[]>> decisions = new ArrayList<>();
        List<WitnessReply> replies = new ArrayList<>();
        long startNanos = threads.getCurrentThreadCpuTime();
        double homeHeapBytes = measureHeapBytes(() -> {
            keys.forEach(key -> decisions.add(home.claim(key, 1)));
            return home;
        });
        double witnessHeapBytes = measureHeapBytes(() -> {
            decisions.forEach(decision -> replies.add(witness.handleWitnessRequest(decision.request())));
            return witness;
        });
        for (int i = 0; i < size; i++) {
            home.handleWitnessReply(keys.get(i), decisions.get(i).attempt(), replies.get(i));
            home.complete(keys.get(i), decisions.get(i).attempt(), new KeyedResult<>(ResultCode.OK, new byte[0]));
        }
        double micros = (threads.getCurrentThreadCpuTime() - startNanos) / 1000.0 / size;
        out.printf("| %d | %.0f | %.0f | %.1f |%n", size, homeHeapBytes / size, witnessHeapBytes / size, micros);
    }

    /**
     * Measures the heap retained by a data structure.
     *
     * @param factory creates the data structure
     * @return retained heap in bytes
     */
    private static double measureHeapBytes(Supplier<?> factory) {
        long before = usedHeapBytes();
        Object created = factory.get();
        long after = usedHeapBytes();
        // never true: keeps the structure reachable until the heap has been measured
        if (Collections.singleton(created).isEmpty()) {
            throw new IllegalStateException();
        }
        return after - before;
    }

    /**
     * Returns the heap in use after garbage collections.
     *
     * @return used heap in bytes
     */
    private static long usedHeapBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Creates a gossip message.
     *
     * @param records member records in it
     * @return the message
     */
    private static Gossip message(List<MemberRecord> records) {
        return new Gossip()
                .withFrom("clipserve-1017")
                .withRevision(123_456)
                .withDigest(0x1234_5678_9abc_def0L)
                .withMembers(records);
    }

    /**
     * Creates the record of a member.
     *
     * @param number number of the member, from which its properties are derived
     * @return the record
     */
    private static MemberRecord record(int number) {
        return new MemberRecord()
                .withId("service-" + number % 130 + "-node-" + number)
                .withBoot(1_700_000_000_000L + number)
                .withIncarnation(3)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost("10." + number % 5 + "." + number / 250 + "." + number % 250)
                .withGatePort(7401)
                .withFramePort(7402)
                .withRegion("region-" + number % 5)
                .withDomain("domain-" + number % 15)
                .withService("service-" + number % 130)
                .withSlots(17)
                .withServing(true)
                .withSince(1_700_000_000_000L + number);
    }

    /**
     * Creates a delta that contains a whole catalogue.
     *
     * @param size number of entries
     * @return the delta, from revision 0
     */
    private static CatalogueDelta delta(int size) {
        List<RevisedEntry> entries = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            entries.add(entry(i, i + 1));
        }
        return new CatalogueDelta().withSince(0).withRevision(size).withEntries(entries);
    }

    /**
     * Creates a catalogue entry.
     *
     * @param number   number of the service
     * @param revision revision of the entry
     * @return the entry
     */
    private static RevisedEntry entry(int number, long revision) {
        EntryDocument document = new EntryDocument()
                .withService("service-" + number)
                .withOwner("owner-" + number % 12)
                .withServiceClass(EntryDocument.ServiceClass.STANDARD)
                .withDeadlineMillis(1_000 + number);
        return new RevisedEntry()
                .withService("service-" + number)
                .withRevision(revision)
                .withEntry(document);
    }
}
