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
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;

/**
 * Slopes of what control costs: heap for each member, entry and key; bytes and processor time of a round of gossip;
 * rounds until all know a change. The real tables, with function calls in place of the network.
 */
public final class ControlBench {

    /** Records in one message, as in {@code Gossiper}. */
    private static final int UPDATES = 10;

    /** Nodes to which a revision is pushed, as in {@code CatalogueReplica}. */
    private static final int FANOUT = 3;

    /** Members told at once of a change, as in {@code Node}. */
    private static final int TOLD = 8;

    /** Copies of a structure in one measurement of its heap. */
    private static final int COPIES = 40;

    /** Keys in the measurement of a ledger. */
    private static final int KEYS = 50_000;

    /** Rounds in the measurement of processor time. */
    private static final int ROUNDS = 20_000;

    /** Numbers of members. */
    private final List<Integer> sizes;

    /** Where the figures are printed. */
    private final PrintStream out;

    /** A clock that stands still. */
    private final Clock.Manual clock = new Clock.Manual();

    /** Processor time of this thread. */
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

    /**
     * Creates a benchmark.
     *
     * @param sizes numbers of members
     * @param out   where the figures are printed
     */
    public ControlBench(List<Integer> sizes, PrintStream out) {
        this.sizes = sizes;
        this.out = out;
    }

    /** Runs the benchmark. */
    public void run() {
        out.println("| members | heap of a table, B/member | quiet message, B | full message, B | round, us cpu"
                + " | rounds until all know a change | messages for it per node | whole table page, B |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        sizes.forEach(this::members);
        out.println();
        out.println("| entries | heap, B/entry | delta of one, B | delta of all, B | merge of one, us cpu |");
        out.println("| --- | --- | --- | --- | --- |");
        List.of(13, 130, 1300).forEach(this::entries);
        out.println();
        out.println("| nodes | reached by push alone, % | pushes per node | longest path |");
        out.println("| --- | --- | --- | --- |");
        sizes.forEach(this::push);
        out.println();
        out.println("| keys | heap at home, B/key | heap at witness, B/key | claim and end, us cpu |");
        out.println("| --- | --- | --- | --- |");
        List.of(KEYS / 10, KEYS / 2, KEYS).forEach(this::keys);
        out.println();
        out.println("| frame | question, B | answer, B |");
        out.println("| --- | --- | --- |");
        frames();
    }

    /** Prints the sizes of frames. */
    private void frames() {
        KeeperRecord keeper = new Keeper("service-17-node-1017", 1_700_000_000_000L, "region-3/domain-11").toRecord();
        frame(
                FrameKind.CONFIRM,
                new ConfirmRequest().withService("service-17").withEpoch(1_000).withFrom(keeper),
                new ConfirmReply().withEpoch(1_000).withConfirmed(true));
        frame(
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
        frame(
                FrameKind.PROBE,
                new ProbeQuestion().withService("service-17"),
                new ProbeAnswer().withAnswered(true).withLoad("17,3,17,8123,0"));
        frame(
                FrameKind.PULL,
                new CataloguePull().withSince(123_456),
                new CatalogueDelta().withSince(123_456).withRevision(123_456));
        frame(
                FrameKind.SUSPECT,
                new SuspectRecord().withFingerprint(Long.MAX_VALUE).withCrash(Long.MAX_VALUE),
                new SuspectRecord().withFingerprint(Long.MAX_VALUE).withCrash(Long.MAX_VALUE));
    }

    /**
     * Prints the size of one kind of frame.
     *
     * @param kind     the kind
     * @param question a question
     * @param answer   an answer
     */
    private void frame(FrameKind kind, Object question, Object answer) {
        out.printf(
                "| %s | %d | %d |%n",
                kind.name().toLowerCase(java.util.Locale.ROOT), FrameCodec.sizeOf(question), FrameCodec.sizeOf(answer));
    }

    /**
     * Measures tables of members.
     *
     * @param size number of members
     */
    private void members(int size) {
        List<MemberRecord> records = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            records.add(record(i));
        }
        List<MemberTable> tables = new ArrayList<>();
        double heap = heapOf(() -> {
            for (int i = 0; i < COPIES; i++) {
                MemberTable table = new MemberTable(record(i), clock, new Random(i));
                List<MemberRecord> own = new ArrayList<>();
                for (int j = 0; j < size; j++) {
                    own.add(record(j));
                }
                table.merge(own);
                tables.add(table);
            }
            return tables;
        });
        MemberTable one = tables.get(0);
        while (!one.nextUpdates(UPDATES).isEmpty()) {
            // until nothing is left to spread
        }
        Gossip quiet = message(List.of());
        Gossip full = message(records.subList(0, UPDATES));
        Gossip page = message(one.randomPage(400));
        out.printf(
                "| %d | %.0f | %d | %d | %.1f | %s | %d |%n",
                size,
                heap / COPIES / size,
                FrameCodec.sizeOf(quiet),
                FrameCodec.sizeOf(full),
                roundMicros(one, full),
                spreadOfChange(size),
                FrameCodec.sizeOf(page));
    }

    /**
     * Measures the processor time of one round at one node: a message written and one merged.
     *
     * @param table the node's table
     * @param full  a message
     * @return microseconds
     */
    private double roundMicros(MemberTable table, Gossip full) {
        long begun = 0;
        for (int i = 0; i < 2 * ROUNDS; i++) {
            if (i == ROUNDS) {
                begun = threads.getCurrentThreadCpuTime();
            }
            table.expire();
            table.nextProbeTarget();
            Gossip own = message(table.nextUpdates(UPDATES));
            FrameCodec.sizeOf(own);
            table.merge(full.getMembers());
        }
        return (threads.getCurrentThreadCpuTime() - begun) / 1000.0 / ROUNDS;
    }

    /**
     * Simulates how a change of one record spreads, with the same rule as {@link MemberTable#nextUpdates(int)}: a node
     * that knows the change sends it a bounded number of times, and answers with it when asked.
     *
     * @param size number of nodes
     * @return rounds and messages, as cells
     */
    private static String spreadOfChange(int size) {
        Random random = new Random(size);
        int limit = 3 * (Integer.SIZE - Integer.numberOfLeadingZeros(size));
        int[] left = new int[size];
        BitSet knows = new BitSet(size);
        learn(knows, left, 0, limit);
        for (int i = 0; i < TOLD; i++) {
            learn(knows, left, random.nextInt(size), limit);
        }
        int rounds = 0;
        long messages = 0;
        while (knows.cardinality() < size && rounds < 1_000) {
            rounds++;
            for (int node = 0; node < size; node++) {
                int peer = random.nextInt(size);
                messages++;
                boolean tells = knows.get(node) && left[node]-- > 0;
                boolean hears = knows.get(peer) && left[peer]-- > 0;
                if (tells) {
                    learn(knows, left, peer, limit);
                }
                if (hears) {
                    learn(knows, left, node, limit);
                }
            }
        }
        return rounds + " | " + messages / size;
    }

    /**
     * Lets a node learn a change.
     *
     * @param knows nodes that know it
     * @param left  times that each still sends it
     * @param node  the node
     * @param limit times that a node sends a change
     */
    private static void learn(BitSet knows, int[] left, int node, int limit) {
        if (!knows.get(node)) {
            knows.set(node);
            left[node] = limit;
        }
    }

    /**
     * Measures catalogues.
     *
     * @param size number of entries
     */
    private void entries(int size) {
        List<Catalogue> copies = new ArrayList<>();
        double heap = heapOf(() -> {
            for (int i = 0; i < COPIES; i++) {
                copies.add(Catalogue.EMPTY.merge(delta(size)));
            }
            return copies;
        });
        Catalogue one = copies.get(0);
        CatalogueDelta change =
                new CatalogueDelta().withSince(size).withRevision(size + 1).withEntries(List.of(entry(0, size + 1)));
        long begun = 0;
        int rounds = 2_000;
        for (int i = 0; i < 2 * rounds; i++) {
            if (i == rounds) {
                begun = threads.getCurrentThreadCpuTime();
            }
            one.merge(change);
        }
        double micros = (threads.getCurrentThreadCpuTime() - begun) / 1000.0 / rounds;
        out.printf(
                "| %d | %.0f | %d | %d | %.1f |%n",
                size, heap / COPIES / size, FrameCodec.sizeOf(change), FrameCodec.sizeOf(delta(size)), micros);
    }

    /**
     * Simulates the push of a revision.
     *
     * @param size number of nodes
     */
    private void push(int size) {
        Random random = new Random(size);
        BitSet reached = new BitSet(size);
        List<Integer> present = new ArrayList<>(List.of(0));
        reached.set(0);
        long pushes = 0;
        int steps = 0;
        while (!present.isEmpty()) {
            List<Integer> next = new ArrayList<>();
            for (int ignored : present) {
                for (int i = 0; i < FANOUT; i++) {
                    int peer = random.nextInt(size);
                    pushes++;
                    if (!reached.get(peer)) {
                        reached.set(peer);
                        next.add(peer);
                    }
                }
            }
            steps += next.isEmpty() ? 0 : 1;
            present = next;
        }
        out.printf(
                "| %d | %.1f | %.2f | %d |%n",
                size, 100.0 * reached.cardinality() / size, pushes / (double) size, steps);
    }

    /**
     * Measures ledgers of keys.
     *
     * @param size number of keys
     */
    private void keys(int size) {
        Keeper a = new Keeper("a", 1, "x");
        Keeper b = new Keeper("b", 1, "y");
        ClaimGroup group = ClaimGroup.create("s", a).withKeeper(b);
        KeyLedger<byte[]> home = new KeyLedger<>(a, clock, 600_000, answer -> answer.length);
        KeyLedger<byte[]> witness = new KeyLedger<>(b, clock, 600_000, answer -> answer.length);
        home.applyGroup(group, 1, clock.nanoTime());
        witness.applyGroup(group, 1, clock.nanoTime());
        Random random = new Random(size);
        List<IdempotencyKey> keys = new ArrayList<>();
        while (keys.size() < size) {
            IdempotencyKey key = IdempotencyKey.generate(clock, random);
            if (group.current().pairFor(key).home().equals(a)) {
                keys.add(key);
            }
        }
        List<ClaimDecision<byte[]>> begins = new ArrayList<>();
        List<WitnessReply> replies = new ArrayList<>();
        long begun = threads.getCurrentThreadCpuTime();
        double atHome = heapOf(() -> {
            keys.forEach(key -> begins.add(home.claim(key, 1)));
            return home;
        });
        double atWitness = heapOf(() -> {
            begins.forEach(begin -> replies.add(witness.handleWitnessRequest(begin.request())));
            return witness;
        });
        for (int i = 0; i < size; i++) {
            home.handleWitnessReply(keys.get(i), begins.get(i).attempt(), replies.get(i));
            home.complete(keys.get(i), begins.get(i).attempt(), new KeyedResult<>(ResultCode.OK, new byte[0]));
        }
        double micros = (threads.getCurrentThreadCpuTime() - begun) / 1000.0 / size;
        out.printf("| %d | %.0f | %.0f | %.1f |%n", size, atHome / size, atWitness / size, micros);
    }

    /**
     * Measures the heap that something takes.
     *
     * @param maker makes it
     * @return bytes
     */
    private static double heapOf(Supplier<?> maker) {
        long before = used();
        Object made = maker.get();
        long after = used();
        if (Collections.singleton(made).isEmpty()) {
            throw new IllegalStateException();
        }
        return after - before;
    }

    /**
     * Returns the heap in use after collections.
     *
     * @return bytes
     */
    private static long used() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Writes a message.
     *
     * @param records records in it
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
     * Writes the record of a member.
     *
     * @param number its number
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
     * Writes a whole catalogue.
     *
     * @param size number of entries
     * @return the catalogue as changes
     */
    private static CatalogueDelta delta(int size) {
        List<RevisedEntry> entries = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            entries.add(entry(i, i + 1));
        }
        return new CatalogueDelta().withSince(0).withRevision(size).withEntries(entries);
    }

    /**
     * Writes an entry.
     *
     * @param number   number of its service
     * @param revision its revision
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
