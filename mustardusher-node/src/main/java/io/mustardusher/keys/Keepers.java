package io.mustardusher.keys;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import io.mustardusher.claim.ClaimGroup;
import io.mustardusher.claim.Keeper;
import io.mustardusher.claim.KeyLedger;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.ClaimGroupRecord;
import io.mustardusher.generated.ConfirmReply;
import io.mustardusher.generated.ConfirmRequest;
import io.mustardusher.generated.ProbeQuestion;
import io.mustardusher.generated.WitnessReply;
import io.mustardusher.generated.WitnessRequest;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.time.Clock;

/**
 * This node as a keeper of its own service's keys: it joins the group, confirms the epoch with the other keepers, takes
 * out those that are gone, and leaves.
 */
public final class Keepers {

    /** Time allowed for an answer of another keeper, in milliseconds. */
    static final long ASK_MILLIS = 400;

    /** Time for which the others may be out of reach before a minority acts, in nanoseconds. */
    private static final long MINORITY_NANOS = 10_000 * Clock.NANOS_PER_MILLI;

    /** This node's process. */
    private final Keeper self;

    /** The keepers' rows. */
    private final KeeperStore store;

    /** Asks other nodes. */
    private final Peers peers;

    /** What is known of nodes. */
    private final MemberTable members;

    /** Whom to take in or out. */
    private final KeeperChoice choice;

    private final Clock clock;

    /** Source of random order. */
    private final Random random;

    /** Keys of this node's service; {@code null} before it serves one. */
    private volatile KeyLedger<AggregatedHttpResponse> ledger;

    /** Service of this node; {@code null} before it serves one. */
    private volatile String service;

    /** Whether this node is leaving. */
    private volatile boolean leaving;

    /** Time at which most keepers last confirmed, in nanoseconds. */
    private volatile long majorityNanos;

    /** Whether a read or write of the row is under way. */
    private volatile CompletableFuture<Void> changing = CompletableFuture.completedFuture(null);

    /**
     * Creates a keeper without keys.
     *
     * @param self      this node's process
     * @param store     the keepers' rows
     * @param peers     asks other nodes
     * @param members   what is known of nodes
     * @param clock     source of time
     * @param random    source of random order
     */
    public Keepers(Keeper self, KeeperStore store, Peers peers, MemberTable members, Clock clock, Random random) {
        this.self = self;
        this.store = store;
        this.peers = peers;
        this.members = members;
        this.choice = new KeeperChoice(members, self);
        this.clock = clock;
        this.random = random;
        this.majorityNanos = clock.nanoTime();
    }

    /**
     * Starts to keep keys of a service.
     *
     * @param name            name of the service
     * @param retentionMillis time for which keys are remembered, in milliseconds
     */
    public synchronized void serve(String name, long retentionMillis) {
        if (ledger == null) {
            ledger = new KeyLedger<>(
                    self, clock, retentionMillis, answer -> answer.content().length());
            service = name;
        }
        ledger.updateRetention(retentionMillis);
    }

    /**
     * Returns the keys of a service.
     *
     * @param name name of the service
     * @return the keys, or empty if this node does not serve it
     */
    Optional<KeyLedger<AggregatedHttpResponse>> ledger(String name) {
        return name.equals(service) ? Optional.of(ledger) : Optional.empty();
    }

    /**
     * Returns the number of keys remembered.
     *
     * @return the number
     */
    public int size() {
        return ledger == null ? 0 : ledger.size();
    }

    /** Does what is due; called about once a second. */
    public void tick() {
        if (ledger == null || leaving || !changing.isDone()) {
            return;
        }
        ledger.expire();
        Optional<ClaimGroup> group = ledger.group();
        if (group.isEmpty() || !group.get().contains(self)) {
            changing = settle(read().thenCompose(this::join));
        } else {
            changing = settle(confirm(group.get()));
        }
    }

    /**
     * Leaves the group.
     *
     * @return completes when the row no longer names this process, or when that failed
     */
    public CompletableFuture<Void> leave() {
        leaving = true;
        if (ledger == null) {
            return CompletableFuture.completedFuture(null);
        }
        return settle(changing.thenCompose(done -> read()).thenCompose(row -> {
            boolean alone =
                    row.isEmpty() || row.get().group().current().keepers().size() == 1;
            if (alone || !row.get().group().contains(self)) {
                return CompletableFuture.completedFuture(null);
            }
            return write(
                    row.get().group().withoutKeepers(List.of(self)), row.get().version());
        }));
    }

    /**
     * Answers another keeper.
     *
     * @param request its question
     * @return the answer
     */
    public CompletableFuture<ConfirmReply> answer(ConfirmRequest request) {
        Optional<KeyLedger<AggregatedHttpResponse>> keys = ledger(request.getService());
        if (keys.isEmpty() || leaving) {
            return CompletableFuture.completedFuture(new ConfirmReply());
        }
        if (!request.isJoin()) {
            return CompletableFuture.completedFuture(keys.get().confirm(request.getEpoch()));
        }
        Keeper newcomer = Keeper.from(request.getFrom());
        return read().thenCompose(row -> {
                    boolean possible = row.isPresent() && row.get().group().contains(self);
                    if (!possible || row.get().group().contains(newcomer)) {
                        return CompletableFuture.<Void>completedFuture(null);
                    }
                    return write(
                            row.get().group().withKeeper(newcomer), row.get().version());
                })
                .thenApply(done -> keys.get().confirm(request.getEpoch()));
    }

    /**
     * Answers a home as witness.
     *
     * @param request its request
     * @return the answer
     */
    public CompletableFuture<WitnessReply> answer(WitnessRequest request) {
        return CompletableFuture.completedFuture(ledger(request.getService())
                .map(keys -> keys.handleWitnessRequest(request))
                .orElse(null));
    }

    /**
     * Answers a question for the keepers of a service.
     *
     * @param question the question
     * @return the keepers as this node knows them
     */
    public CompletableFuture<ClaimGroupRecord> answer(ProbeQuestion question) {
        return CompletableFuture.completedFuture(ledger(question.getService())
                .flatMap(KeyLedger::group)
                .map(ClaimGroup::toRecord)
                .orElse(null));
    }

    /**
     * Asks a witness.
     *
     * @param witness the witness
     * @param request the request
     * @return its reply, or {@code null} if none came
     */
    CompletableFuture<WitnessReply> ask(Keeper witness, WitnessRequest request) {
        Optional<InetSocketAddress> address = members.frameAddress(witness.id(), witness.boot());
        if (address.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<WitnessReply> reply = peers.request(address.get(), FrameKind.WITNESS, request, ASK_MILLIS);
        return reply.exceptionally(failure -> null);
    }

    /**
     * Reads the row and takes it over.
     *
     * @return the row, or empty if there is none
     */
    private CompletableFuture<Optional<KeeperStore.Versioned>> read() {
        long asked = clock.nanoTime();
        return store.read(service).thenApply(row -> {
            row.ifPresent(found -> adopt(found, asked));
            return row;
        });
    }

    /**
     * Takes over a row.
     *
     * @param row   the row
     * @param asked time at which the read was sent, in nanoseconds
     */
    private void adopt(KeeperStore.Versioned row, long asked) {
        long before = ledger.group().map(group -> group.current().number()).orElse(0L);
        ledger.applyGroup(row.group(), row.version(), asked);
        long after = row.group().current().number();
        if (after > before) {
            List<String> names =
                    row.group().current().keepers().stream().map(Keeper::id).toList();
            NodeLog.LOG.keepersChanged(service, after, names.toString());
        }
    }

    /**
     * Writes a new epoch. Before that this process stops confirming the present one.
     *
     * @param next    the group with the new epoch
     * @param version version of the row that it replaces
     * @return completes when the row was read again
     */
    private CompletableFuture<Void> write(ClaimGroup next, long version) {
        ledger.suspend(version);
        return store.write(next, version)
                .handle((written, failure) -> null)
                .thenCompose(done -> read())
                .thenAccept(row -> {});
    }

    /**
     * Joins the group.
     *
     * @param row the row as read
     * @return completes when the try has ended
     */
    private CompletableFuture<Void> join(Optional<KeeperStore.Versioned> row) {
        if (row.isEmpty()) {
            return write(ClaimGroup.create(service, self), 0);
        }
        ClaimGroup group = row.get().group();
        if (group.contains(self) || !choice.hasRoom(group)) {
            return CompletableFuture.completedFuture(null);
        }
        if (choice.mayJoinAlone(group)) {
            return write(group.withKeeper(self), row.get().version());
        }
        List<Keeper> keepers = group.current().keepers();
        Keeper asked = keepers.get(random.nextInt(keepers.size()));
        return askKeeper(asked, group, true).thenCompose(reply -> read()).thenAccept(read -> {});
    }

    /**
     * Confirms the epoch with all other keepers.
     *
     * @param group the group
     * @return completes when the round has ended
     */
    private CompletableFuture<Void> confirm(ClaimGroup group) {
        long asked = clock.nanoTime();
        List<CompletableFuture<ConfirmReply>> replies = group.current().keepers().stream()
                .filter(keeper -> !keeper.equals(self))
                .map(keeper -> askKeeper(keeper, group, false))
                .toList();
        return CompletableFuture.allOf(replies.toArray(new CompletableFuture<?>[0]))
                .thenCompose(done -> {
                    long confirmed = replies.stream()
                            .filter(reply -> reply.join().isConfirmed())
                            .count();
                    if (confirmed == replies.size() && confirmed > 0) {
                        ledger.renewLease(group.current().number(), asked);
                    }
                    if (2 * (confirmed + 1) > replies.size() + 1) {
                        majorityNanos = asked;
                    }
                    boolean complete = confirmed == replies.size();
                    return complete ? CompletableFuture.completedFuture(null) : read().thenCompose(this::removeGone);
                });
    }

    /**
     * Takes keepers out that are gone.
     *
     * @param row the row as read
     * @return completes when the try has ended
     */
    private CompletableFuture<Void> removeGone(Optional<KeeperStore.Versioned> row) {
        if (row.isEmpty() || !row.get().group().contains(self)) {
            return CompletableFuture.completedFuture(null);
        }
        ClaimGroup group = row.get().group();
        List<Keeper> gone = choice.gone(group);
        int left = group.current().keepers().size() - gone.size();
        boolean minority = 2 * left <= group.current().keepers().size();
        boolean waits = minority && clock.nanoTime() - majorityNanos < MINORITY_NANOS;
        boolean turn = random.nextInt(Math.max(1, left)) == 0;
        if (gone.isEmpty() || waits || !turn) {
            return CompletableFuture.completedFuture(null);
        }
        return write(group.withoutKeepers(gone), row.get().version());
    }

    /**
     * Asks a keeper to confirm the epoch or to take this process in.
     *
     * @param keeper the keeper
     * @param group  the group
     * @param join   whether to ask to be taken in
     * @return its reply; one that does not confirm if none came
     */
    private CompletableFuture<ConfirmReply> askKeeper(Keeper keeper, ClaimGroup group, boolean join) {
        Optional<InetSocketAddress> address = members.frameAddress(keeper.id(), keeper.boot());
        if (address.isEmpty()) {
            return CompletableFuture.completedFuture(new ConfirmReply());
        }
        ConfirmRequest request = new ConfirmRequest()
                .withService(service)
                .withEpoch(group.current().number())
                .withFrom(self.toRecord())
                .withJoin(join);
        long limit = join ? ASK_MILLIS * 5 : ASK_MILLIS;
        CompletableFuture<ConfirmReply> reply = peers.request(address.get(), FrameKind.CONFIRM, request, limit);
        return reply.exceptionally(failure -> new ConfirmReply());
    }

    /**
     * Logs a failure and goes on.
     *
     * @param work the work
     * @return completes without failure
     */
    private static CompletableFuture<Void> settle(CompletableFuture<Void> work) {
        return work.exceptionally(failure -> {
            NodeLog.LOG.storeFailed("keepers", String.valueOf(failure.getMessage()));
            return null;
        });
    }
}
