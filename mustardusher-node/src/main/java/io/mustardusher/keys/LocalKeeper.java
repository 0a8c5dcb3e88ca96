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
 * This node as a keeper of the idempotency keys of its service. It joins the claim group of the service, regularly
 * confirms the epoch with the other keepers, removes unavailable keepers from the group, and leaves it on shutdown.
 */
public final class LocalKeeper {

    /** Timeout for the reply of another keeper, in milliseconds. */
    static final long REPLY_TIMEOUT_MILLIS = 400;

    /**
     * Time without a confirmation by a majority after which unavailable keepers are removed even if no majority of the
     * keepers remains, in nanoseconds.
     */
    private static final long MINORITY_REMOVAL_DELAY_NANOS = 10_000 * Clock.NANOS_PER_MILLI;

    /** The process of this node. */
    private final Keeper self;

    /** The claim groups in the table service. */
    private final KeeperStore store;

    /** Sends requests to other nodes. */
    private final Peers peers;

    /** The nodes known to this node. */
    private final MemberTable members;

    /** Decides which keepers to add or remove. */
    private final GroupChangePolicy policy;

    private final Clock clock;

    /** Source of random numbers. */
    private final Random random;

    /** Claims of the service of this node; {@code null} until it serves one. */
    private volatile KeyLedger<AggregatedHttpResponse> ledger;

    /** Name of the service of this node; {@code null} until it serves one. */
    private volatile String service;

    /** Whether this node has started to leave the group. */
    private volatile boolean leaving;

    /**
     * Start of the last round in which a majority of the keepers confirmed the epoch, in nanoseconds; before that, the
     * time at which this object was created.
     */
    private volatile long lastMajorityNanos;

    /** Completes when the last attempt to join the group or to confirm its epoch has ended. */
    private volatile CompletableFuture<Void> pendingRound = CompletableFuture.completedFuture(null);

    /**
     * Creates a keeper that does not serve a service yet.
     *
     * @param self    the process of this node
     * @param store   the claim groups in the table service
     * @param peers   sends requests to other nodes
     * @param members the nodes known to this node
     * @param clock   source of time
     * @param random  source of random numbers
     */
    public LocalKeeper(Keeper self, KeeperStore store, Peers peers, MemberTable members, Clock clock, Random random) {
        this.self = self;
        this.store = store;
        this.peers = peers;
        this.members = members;
        this.policy = new GroupChangePolicy(members, self);
        this.clock = clock;
        this.random = random;
        this.lastMajorityNanos = clock.nanoTime();
    }

    /**
     * Starts to keep the keys of a service, or updates their retention time if this node already serves one.
     *
     * @param name            name of the service; ignored if this node already serves one
     * @param retentionMillis time for which keys are retained, in milliseconds
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
     * Returns the claims of a service.
     *
     * @param name name of the service
     * @return the ledger, or empty if this node does not serve the service
     */
    Optional<KeyLedger<AggregatedHttpResponse>> ledger(String name) {
        return name.equals(service) ? Optional.of(ledger) : Optional.empty();
    }

    /**
     * Returns the number of stored claims.
     *
     * @return number of claims as home and as witness
     */
    public int claimCount() {
        return ledger == null ? 0 : ledger.size();
    }

    /**
     * Evicts expired claims, and joins the group or confirms its epoch unless an earlier attempt is pending. Called
     * about once per second.
     */
    public void tick() {
        if (ledger == null || leaving || !pendingRound.isDone()) {
            return;
        }
        ledger.expire();
        Optional<ClaimGroup> group = ledger.group();
        if (group.isEmpty() || !group.get().contains(self)) {
            pendingRound = logFailure(readRow().thenCompose(this::join));
        } else {
            pendingRound = logFailure(confirmEpoch(group.get()));
        }
    }

    /**
     * Leaves the group, unless this process is its only keeper.
     *
     * @return completes when this process was removed from the row, or when that has failed
     */
    public CompletableFuture<Void> leave() {
        leaving = true;
        if (ledger == null) {
            return CompletableFuture.completedFuture(null);
        }
        return logFailure(pendingRound.thenCompose(done -> readRow()).thenCompose(row -> {
            boolean alone =
                    row.isEmpty() || row.get().group().current().keepers().size() == 1;
            if (alone || !row.get().group().contains(self)) {
                return CompletableFuture.completedFuture(null);
            }
            return writeEpoch(
                    row.get().group().withoutKeepers(List.of(self)), row.get().version());
        }));
    }

    /**
     * Answers the request of another process to confirm its epoch or to be added to the group.
     *
     * @param request the request
     * @return the reply, which does not confirm the epoch if this node is leaving or does not serve the service
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
        return readRow()
                .thenCompose(row -> {
                    boolean member = row.isPresent() && row.get().group().contains(self);
                    if (!member || row.get().group().contains(newcomer)) {
                        return CompletableFuture.<Void>completedFuture(null);
                    }
                    return writeEpoch(
                            row.get().group().withKeeper(newcomer), row.get().version());
                })
                .thenApply(done -> keys.get().confirm(request.getEpoch()));
    }

    /**
     * Answers the request of a home to record or remove a claim at this node as witness.
     *
     * @param request the request
     * @return the reply, or {@code null} if this node does not serve the service
     */
    public CompletableFuture<WitnessReply> answer(WitnessRequest request) {
        return CompletableFuture.completedFuture(ledger(request.getService())
                .map(keys -> keys.handleWitnessRequest(request))
                .orElse(null));
    }

    /**
     * Answers a request for the keepers of a service.
     *
     * @param question the request
     * @return the latest group known to this node; {@code null} if there is none or this node does not serve the
     *         service
     */
    public CompletableFuture<ClaimGroupRecord> answer(ProbeQuestion question) {
        return CompletableFuture.completedFuture(ledger(question.getService())
                .flatMap(KeyLedger::group)
                .map(ClaimGroup::toRecord)
                .orElse(null));
    }

    /**
     * Sends a request to a witness.
     *
     * @param witness the witness
     * @param request the request
     * @return its reply, or {@code null} if the witness cannot be reached or does not reply in time
     */
    CompletableFuture<WitnessReply> askWitness(Keeper witness, WitnessRequest request) {
        Optional<InetSocketAddress> address = members.frameAddress(witness.id(), witness.boot());
        if (address.isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        CompletableFuture<WitnessReply> reply =
                peers.request(address.get(), FrameKind.WITNESS, request, REPLY_TIMEOUT_MILLIS);
        return reply.exceptionally(failure -> null);
    }

    /**
     * Reads the row of the group and applies it.
     *
     * @return the row, or empty if there is none
     */
    private CompletableFuture<Optional<KeeperStore.Versioned>> readRow() {
        long requestedNanos = clock.nanoTime();
        return store.read(service).thenApply(row -> {
            row.ifPresent(found -> applyRow(found, requestedNanos));
            return row;
        });
    }

    /**
     * Applies a row to the ledger, and logs a new epoch.
     *
     * @param row            the row
     * @param requestedNanos time at which the read was requested, in nanoseconds
     */
    private void applyRow(KeeperStore.Versioned row, long requestedNanos) {
        long oldEpoch = ledger.group().map(group -> group.current().number()).orElse(0L);
        ledger.applyGroup(row.group(), row.version(), requestedNanos);
        long newEpoch = row.group().current().number();
        if (newEpoch > oldEpoch) {
            List<String> names =
                    row.group().current().keepers().stream().map(Keeper::id).toList();
            NodeLog.LOG.keepersChanged(service, newEpoch, names.toString());
        }
    }

    /**
     * Writes a new epoch and reads the row again. From before the write until a later version of the row is read, this
     * process neither grants claims nor confirms the current epoch.
     *
     * @param next    the group with the new epoch
     * @param version version of the row that it replaces
     * @return completes when the row was read
     */
    private CompletableFuture<Void> writeEpoch(ClaimGroup next, long version) {
        ledger.suspend(version);
        return store.write(next, version)
                .handle((written, failure) -> null)
                .thenCompose(done -> readRow())
                .thenAccept(row -> {});
    }

    /**
     * Tries to join the group. If the group does not exist, it is created. Otherwise a request to add this process is
     * sent to a random keeper, unless this process may add itself. Nothing is done if the group is full.
     *
     * @param row the row as read, or empty if the group does not exist
     * @return completes when the attempt has ended
     */
    private CompletableFuture<Void> join(Optional<KeeperStore.Versioned> row) {
        if (row.isEmpty()) {
            return writeEpoch(ClaimGroup.create(service, self), 0);
        }
        ClaimGroup group = row.get().group();
        if (group.contains(self) || !policy.hasCapacityForSelf(group)) {
            return CompletableFuture.completedFuture(null);
        }
        if (policy.mayAddSelf(group)) {
            return writeEpoch(group.withKeeper(self), row.get().version());
        }
        List<Keeper> keepers = group.current().keepers();
        Keeper sponsor = keepers.get(random.nextInt(keepers.size()));
        return requestConfirmation(sponsor, group, true)
                .thenCompose(reply -> readRow())
                .thenAccept(read -> {});
    }

    /**
     * Requests a confirmation of the epoch from all other keepers. If there are others and all of them confirm it, the
     * lease is renewed. If any does not, the row is read and unavailable keepers are removed.
     *
     * @param group the group
     * @return completes when the round has ended
     */
    private CompletableFuture<Void> confirmEpoch(ClaimGroup group) {
        long requestedNanos = clock.nanoTime();
        List<CompletableFuture<ConfirmReply>> replies = group.current().keepers().stream()
                .filter(keeper -> !keeper.equals(self))
                .map(keeper -> requestConfirmation(keeper, group, false))
                .toList();
        return CompletableFuture.allOf(replies.toArray(new CompletableFuture<?>[0]))
                .thenCompose(done -> {
                    long confirmations = replies.stream()
                            .filter(reply -> reply.join().isConfirmed())
                            .count();
                    if (confirmations == replies.size() && confirmations > 0) {
                        ledger.renewLease(group.current().number(), requestedNanos);
                    }
                    if (2 * (confirmations + 1) > replies.size() + 1) {
                        lastMajorityNanos = requestedNanos;
                    }
                    boolean allConfirmed = confirmations == replies.size();
                    return allConfirmed
                            ? CompletableFuture.completedFuture(null)
                            : readRow().thenCompose(this::removeUnavailable);
                });
    }

    /**
     * Removes unavailable keepers from the group. With n remaining keepers, each one does so with a probability of 1/n
     * in a round, so that on average one of them writes.
     *
     * @param row the row as read
     * @return completes when the attempt has ended
     */
    private CompletableFuture<Void> removeUnavailable(Optional<KeeperStore.Versioned> row) {
        if (row.isEmpty() || !row.get().group().contains(self)) {
            return CompletableFuture.completedFuture(null);
        }
        ClaimGroup group = row.get().group();
        List<Keeper> unavailable = policy.unavailableKeepers(group);
        int remaining = group.current().keepers().size() - unavailable.size();
        boolean minority = 2 * remaining <= group.current().keepers().size();
        boolean deferred = minority && clock.nanoTime() - lastMajorityNanos < MINORITY_REMOVAL_DELAY_NANOS;
        boolean selected = random.nextInt(Math.max(1, remaining)) == 0;
        if (unavailable.isEmpty() || deferred || !selected) {
            return CompletableFuture.completedFuture(null);
        }
        return writeEpoch(group.withoutKeepers(unavailable), row.get().version());
    }

    /**
     * Sends a request to a keeper to confirm the epoch, or to add this process to the group and then confirm the epoch.
     *
     * @param keeper the keeper
     * @param group  the group
     * @param join   whether this process is to be added to the group
     * @return its reply, or one that does not confirm the epoch if the keeper cannot be reached or does not reply in
     *         time
     */
    private CompletableFuture<ConfirmReply> requestConfirmation(Keeper keeper, ClaimGroup group, boolean join) {
        Optional<InetSocketAddress> address = members.frameAddress(keeper.id(), keeper.boot());
        if (address.isEmpty()) {
            return CompletableFuture.completedFuture(new ConfirmReply());
        }
        ConfirmRequest request = new ConfirmRequest()
                .withService(service)
                .withEpoch(group.current().number())
                .withFrom(self.toRecord())
                .withJoin(join);
        long timeoutMillis = join ? REPLY_TIMEOUT_MILLIS * 5 : REPLY_TIMEOUT_MILLIS;
        CompletableFuture<ConfirmReply> reply = peers.request(address.get(), FrameKind.CONFIRM, request, timeoutMillis);
        return reply.exceptionally(failure -> new ConfirmReply());
    }

    /**
     * Logs the failure of an operation.
     *
     * @param operation the operation
     * @return completes normally when the operation has ended, even if it has failed
     */
    private static CompletableFuture<Void> logFailure(CompletableFuture<Void> operation) {
        return operation.exceptionally(failure -> {
            NodeLog.LOG.storeFailed("keepers", String.valueOf(failure.getMessage()));
            return null;
        });
    }
}
