package io.mustardusher.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToIntFunction;

import io.mustardusher.generated.ConfirmReply;
import io.mustardusher.generated.WitnessReply;
import io.mustardusher.generated.WitnessReply.Verdict;
import io.mustardusher.generated.WitnessRequest;
import io.mustardusher.result.Outcome;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;

/**
 * The claims of one service that one node keeps, as home and as witness. The ledger decides and stores claims; its user
 * exchanges the messages with other keepers.
 *
 * <p>All methods synchronize on the ledger. Futures are completed after the lock is released.
 *
 * @param <A> type of answers
 */
public final class KeyLedger<A> {

    /** Maximum total size of stored answers, in bytes. */
    private static final long MAX_ANSWER_BYTES = 4L << 20;

    private final Keeper self;

    private final Clock clock;

    /** Returns the size of an answer, in bytes. */
    private final ToIntFunction<A> sizeOf;

    /** Claims of which this node is or was the home, by key. */
    private final Map<IdempotencyKey, HomeClaim<A>> homeClaims = new HashMap<>();

    /** Claims of which this node is or was the witness, by key. */
    private final Map<IdempotencyKey, WitnessClaim> witnessClaims = new HashMap<>();

    private final Coverage coverage;

    private final KeeperLease lease;

    /** The latest known group; {@code null} until the first one is applied. */
    private ClaimGroup group;

    /** Number of the last claim made by this node as home. */
    private long lastAttempt;

    /** Total size of stored answers, in bytes. */
    private long storedAnswerBytes;

    /** Time for which keys are retained, in milliseconds. */
    private long retentionMillis;

    /**
     * Keys created before this time are rejected, in milliseconds since the Unix epoch. It never decreases, because a
     * longer retention must not accept keys again whose claims were already evicted.
     */
    private long oldestAcceptedMillis;

    /**
     * Creates an empty ledger.
     *
     * @param self            this node's process as a keeper
     * @param clock           source of time
     * @param retentionMillis time for which keys are retained, in milliseconds
     * @param sizeOf          returns the size of an answer, in bytes
     */
    public KeyLedger(Keeper self, Clock clock, long retentionMillis, ToIntFunction<A> sizeOf) {
        this.self = self;
        this.clock = clock;
        this.retentionMillis = retentionMillis;
        this.sizeOf = sizeOf;
        this.coverage = new Coverage(self);
        this.lease = new KeeperLease(clock);
    }

    /**
     * Updates the time for which keys are retained. Keys that were rejected for their age stay rejected.
     *
     * @param millis time for which keys are retained, in milliseconds
     */
    public synchronized void updateRetention(long millis) {
        retentionMillis = millis;
    }

    /**
     * Applies a group that was read from the table service. The lease is renewed unless the read returned an earlier
     * epoch than the one already known.
     *
     * @param read           the group
     * @param rowVersion     version of the row
     * @param requestedNanos time at which the read was requested, in nanoseconds
     */
    public synchronized void applyGroup(ClaimGroup read, long rowVersion, long requestedNanos) {
        boolean newer =
                group == null || read.current().number() > group.current().number();
        if (newer) {
            group = read;
            coverage.record(read.epochs(), clock.epochMillis());
        }
        if (read.current().number() == group.current().number()) {
            lease.resume(rowVersion);
            lease.renew(requestedNanos);
        }
    }

    /**
     * Renews the lease after all other keepers of the epoch have confirmed it. Has no effect if the epoch is not the
     * latest known one.
     *
     * @param epoch          the confirmed epoch
     * @param requestedNanos time at which the first confirmation was requested, in nanoseconds
     */
    public synchronized void renewLease(long epoch, long requestedNanos) {
        if (group != null && group.current().number() == epoch) {
            lease.renew(requestedNanos);
        }
    }

    /**
     * Suspends granting claims and confirming the epoch until a later version of the row is read. Must be called before
     * this node writes a new epoch.
     *
     * @param rowVersion version of the row that the write replaces
     */
    public synchronized void suspend(long rowVersion) {
        lease.suspend(rowVersion);
    }

    /**
     * Handles another keeper's request to confirm its epoch.
     *
     * @param epoch epoch of the other keeper
     * @return the reply, which confirms the epoch if this node is one of its keepers and not about to replace it
     */
    public synchronized ConfirmReply confirm(long epoch) {
        long own = group == null ? 0 : group.current().number();
        boolean member = group != null && group.contains(self);
        boolean confirmed = own == epoch && member && lease.canConfirm();
        return new ConfirmReply().withEpoch(own).withConfirmed(confirmed);
    }

    /**
     * Returns the latest known group.
     *
     * @return the group, or empty if none was applied yet
     */
    public synchronized Optional<ClaimGroup> group() {
        return Optional.ofNullable(group);
    }

    /**
     * Returns whether this node is a keeper in the current epoch and holds a valid lease.
     *
     * @return {@code true} if it may grant claims now
     */
    public synchronized boolean hasLease() {
        return group != null && group.contains(self) && lease.isValid();
    }

    /**
     * Claims the key of an incoming call for this node as home.
     *
     * @param key         the key
     * @param requestHash hash of method, path and body
     * @return how to proceed with the call
     */
    public synchronized ClaimDecision<A> claim(IdempotencyKey key, long requestHash) {
        HomeClaim<A> existing = homeClaims.get(key);
        if (existing != null && existing.requestHash != requestHash) {
            return ClaimDecision.reject(ResultCode.KEY_REUSED);
        }
        if (existing != null && existing.phase.preventsNewClaim()) {
            return ClaimDecision.join(existing.result);
        }
        if (group == null || !group.current().canGrant()) {
            return ClaimDecision.reject(ResultCode.KEEPER_UNAVAILABLE);
        }
        KeeperPair pair = group.current().pairFor(key);
        if (!pair.home().equals(self)) {
            return ClaimDecision.otherHome(pair.home());
        }
        ResultCode rejection = rejectionOf(key, requestHash);
        return rejection == null ? startClaim(key, requestHash, pair.witness()) : ClaimDecision.reject(rejection);
    }

    /**
     * Handles the reply of the witness or its timeout, whichever comes first for a claim.
     *
     * @param key     the key
     * @param attempt number of the claim
     * @param reply   the reply, or {@code null} if the witness did not reply in time
     * @return how to proceed with the call
     */
    public DispatchDecision handleWitnessReply(IdempotencyKey key, long attempt, WitnessReply reply) {
        CompletableFuture<KeyedResult<A>> result;
        ResultCode code;
        DispatchDecision decision;
        synchronized (this) {
            HomeClaim<A> claim = homeClaims.get(key);
            if (claim == null || claim.attempt != attempt || claim.phase != Phase.AWAITING_WITNESS) {
                return DispatchDecision.NO_ACTION;
            }
            code = evaluate(key, reply);
            result = claim.result;
            claim.phase = switch (code) {
                case OK -> Phase.DISPATCHED;
                case KEEPER_UNAVAILABLE -> Phase.RELEASED;
                default -> Phase.COMPLETED;
            };
            decision = claim.phase == Phase.RELEASED
                    ? new DispatchDecision(false, Optional.of(witnessRequest(key, claim, true)))
                    : DispatchDecision.NO_ACTION;
        }
        if (code == ResultCode.OK) {
            return DispatchDecision.DISPATCH;
        }
        result.complete(new KeyedResult<>(code, null));
        return decision;
    }

    /**
     * Records the result of a dispatched call. If the call did not run, its claim is released so that the key can be
     * claimed again.
     *
     * @param key     the key
     * @param attempt number of the claim
     * @param result  result of the call
     * @return request with which the witness removes the claim if the call did not run, otherwise empty
     */
    public Optional<WitnessRequest> complete(IdempotencyKey key, long attempt, KeyedResult<A> result) {
        CompletableFuture<KeyedResult<A>> future;
        Optional<WitnessRequest> release = Optional.empty();
        synchronized (this) {
            HomeClaim<A> claim = homeClaims.get(key);
            if (claim == null || claim.attempt != attempt || claim.phase != Phase.DISPATCHED) {
                return Optional.empty();
            }
            future = claim.result;
            boolean notRun = result.code().outcome() == Outcome.NOT_RUN;
            claim.phase = notRun ? Phase.RELEASED : Phase.COMPLETED;
            if (notRun) {
                release = Optional.of(witnessRequest(key, claim, true));
            } else {
                storeAnswer(claim, result);
            }
        }
        future.complete(result);
        return release;
    }

    /**
     * Handles the request of a home to record or remove a claim at this node as witness.
     *
     * @param request request of the home
     * @return the reply
     */
    public synchronized WitnessReply handleWitnessRequest(WitnessRequest request) {
        IdempotencyKey key = new IdempotencyKey(request.getKey());
        WitnessClaim existing = witnessClaims.get(key);
        boolean sameHome = existing != null && existing.home.equals(request.getHome());
        if (request.isRelease()) {
            if (sameHome && existing.attempt == request.getAttempt()) {
                witnessClaims.remove(key);
            }
            return witnessReply(Verdict.RECORDED, key);
        }
        if (group == null || group.current().number() != request.getEpoch() || !lease.isValid()) {
            return witnessReply(Verdict.STALE_EPOCH, key);
        }
        if (!group.current().pairFor(key).contains(self)) {
            return witnessReply(Verdict.NOT_A_WITNESS, key);
        }
        boolean knownAsHome = homeClaims.containsKey(key) && homeClaims.get(key).phase != Phase.RELEASED;
        boolean superseded = sameHome && request.getAttempt() >= existing.attempt;
        if (knownAsHome || existing != null && !superseded || isPastRetention(key)) {
            return witnessReply(Verdict.KNOWN, key);
        }
        witnessClaims.put(key, new WitnessClaim(request.getHome(), request.getAttempt(), createdAtMillis(key)));
        return witnessReply(Verdict.RECORDED, key);
    }

    /** Evicts claims of keys so old that every keeper rejects them for their age, even at the maximum clock skew. */
    public synchronized void expire() {
        oldestAcceptedMillis = Math.max(oldestAcceptedMillis, clock.epochMillis() - retentionMillis);
        long oldest = oldestAcceptedMillis - 2 * ClaimLimits.MAX_CLOCK_SKEW_MILLIS;
        witnessClaims.values().removeIf(claim -> claim.keyCreatedMillis < oldest);
        homeClaims.values().removeIf(claim -> {
            boolean evicted = claim.keyCreatedMillis < oldest && claim.phase.isFinished();
            if (evicted) {
                storedAnswerBytes -= claim.answerBytes;
            }
            return evicted;
        });
    }

    /**
     * Returns the number of stored claims.
     *
     * @return number of claims as home and as witness
     */
    public synchronized int size() {
        return homeClaims.size() + witnessClaims.size();
    }

    /**
     * Returns why a new claim is rejected before the witness is asked.
     *
     * @param key         the key
     * @param requestHash hash of method, path and body
     * @return the reason, or {@code null} if the claim is not rejected
     */
    private ResultCode rejectionOf(IdempotencyKey key, long requestHash) {
        if (!lease.isValid()) {
            return ResultCode.KEEPER_UNAVAILABLE;
        }
        if (witnessClaims.containsKey(key)) {
            return ResultCode.KEY_OUTCOME_UNKNOWN;
        }
        OptionalLong created = key.createdAtMillis();
        long now = clock.epochMillis();
        if (created.isPresent() && created.getAsLong() > now + ClaimLimits.MAX_CLOCK_SKEW_MILLIS) {
            return ResultCode.KEY_FROM_FUTURE;
        }
        return isPastRetention(key) ? ResultCode.KEY_TOO_OLD : null;
    }

    /**
     * Returns whether a key is so old that its claim may have been evicted. Advances {@link #oldestAcceptedMillis}
     * first.
     *
     * @param key the key
     * @return {@code true} if it must be rejected for its age; always {@code false} for an opaque key
     */
    private boolean isPastRetention(IdempotencyKey key) {
        oldestAcceptedMillis = Math.max(oldestAcceptedMillis, clock.epochMillis() - retentionMillis);
        OptionalLong created = key.createdAtMillis();
        return created.isPresent() && created.getAsLong() < oldestAcceptedMillis;
    }

    /**
     * Stores a new claim and creates the request to its witness.
     *
     * @param key         the key
     * @param requestHash hash of method, path and body
     * @param witness     the witness
     * @return the decision to ask the witness
     */
    private ClaimDecision<A> startClaim(IdempotencyKey key, long requestHash, Keeper witness) {
        HomeClaim<A> claim = new HomeClaim<>(++lastAttempt, requestHash, createdAtMillis(key));
        homeClaims.put(key, claim);
        return ClaimDecision.askWitness(witness, witnessRequest(key, claim, false), claim.result);
    }

    /**
     * Evaluates the reply of the witness. The call may be dispatched only if the home or the witness has taken part in
     * every claim of the key since before its creation. The margin covers the skew between the clocks that set the two
     * times.
     *
     * @param key   the key
     * @param reply the reply, or {@code null} if the witness did not reply in time
     * @return {@link ResultCode#OK} to dispatch the call, otherwise why it is rejected
     */
    private ResultCode evaluate(IdempotencyKey key, WitnessReply reply) {
        if (reply == null || reply.getVerdict() == Verdict.STALE_EPOCH) {
            return ResultCode.KEEPER_UNAVAILABLE;
        }
        if (reply.getVerdict() == Verdict.NOT_A_WITNESS) {
            return ResultCode.KEEPER_UNAVAILABLE;
        }
        if (reply.getVerdict() == Verdict.KNOWN) {
            return ResultCode.KEY_OUTCOME_UNKNOWN;
        }
        long covered = Math.min(coverage.coveredSince(group.epochs(), key), reply.getCoveredSince());
        long earliest = key.createdAtMillis().orElse(clock.epochMillis() - retentionMillis);
        boolean complete = covered == Coverage.ALWAYS || covered < earliest - 2 * ClaimLimits.MAX_CLOCK_SKEW_MILLIS;
        return complete ? ResultCode.OK : ResultCode.KEY_TOO_OLD;
    }

    /**
     * Stores the answer of a call for later calls with the same key. If it would exceed {@link #MAX_ANSWER_BYTES},
     * later calls get {@link ResultCode#ANSWER_EXPIRED} instead.
     *
     * @param claim  the claim
     * @param result result of the call
     */
    private void storeAnswer(HomeClaim<A> claim, KeyedResult<A> result) {
        int bytes = result.answer() == null ? 0 : sizeOf.applyAsInt(result.answer());
        if (storedAnswerBytes + bytes > MAX_ANSWER_BYTES) {
            claim.result = CompletableFuture.completedFuture(new KeyedResult<>(ResultCode.ANSWER_EXPIRED, null));
            return;
        }
        claim.answerBytes = bytes;
        storedAnswerBytes += bytes;
    }

    /**
     * Creates a request to the witness.
     *
     * @param key     the key
     * @param claim   the claim
     * @param release whether the claim is to be removed because the call did not run
     * @return the request
     */
    private WitnessRequest witnessRequest(IdempotencyKey key, HomeClaim<A> claim, boolean release) {
        return new WitnessRequest()
                .withService(group.service())
                .withKey(key.value())
                .withEpoch(group.current().number())
                .withAttempt(claim.attempt)
                .withHome(self.processName())
                .withBody(claim.requestHash)
                .withRelease(release);
    }

    /**
     * Creates a reply of this node as witness.
     *
     * @param verdict whether the claim was recorded
     * @param key     the key
     * @return the reply
     */
    private WitnessReply witnessReply(Verdict verdict, IdempotencyKey key) {
        long epoch = group == null ? 0 : group.current().number();
        long since = group == null ? Coverage.NEVER : coverage.coveredSince(group.epochs(), key);
        return new WitnessReply().withVerdict(verdict).withEpoch(epoch).withCoveredSince(since);
    }

    /**
     * Returns the time at which a key was created, or the current time for an opaque key.
     *
     * @param key the key
     * @return milliseconds since the Unix epoch
     */
    private long createdAtMillis(IdempotencyKey key) {
        return key.createdAtMillis().orElse(clock.epochMillis());
    }

    /** Phase of a claim at its home. */
    private enum Phase {
        /** The witness has not yet replied. */
        AWAITING_WITNESS,

        /** The call was dispatched and may be running. */
        DISPATCHED,

        /** The call did not run; the key can be claimed again. */
        RELEASED,

        /** The result is final: the call ran, may have run, or was rejected for good. */
        COMPLETED;

        /**
         * Returns whether a further call with the same key gets the result of this claim instead of making a new claim.
         *
         * @return {@code false} if the key can be claimed again
         */
        boolean preventsNewClaim() {
            return this != RELEASED;
        }

        /**
         * Returns whether neither a reply of the witness nor a result of the call is pending.
         *
         * @return {@code true} if the claim can be evicted
         */
        boolean isFinished() {
            return this == RELEASED || this == COMPLETED;
        }
    }

    /**
     * A claim at its home.
     *
     * @param <A> type of answers
     */
    private static final class HomeClaim<A> {

        /** Number of the claim. */
        private final long attempt;

        /** Hash of method, path and body. */
        private final long requestHash;

        /** Time at which the key was created, in milliseconds since the Unix epoch. */
        private final long keyCreatedMillis;

        /** Result for all calls with the key. */
        private CompletableFuture<KeyedResult<A>> result = new CompletableFuture<>();

        private Phase phase = Phase.AWAITING_WITNESS;

        /** Size of the stored answer, in bytes. */
        private int answerBytes;

        /**
         * Creates a claim that awaits the reply of its witness.
         *
         * @param attempt          number of the claim
         * @param requestHash      hash of method, path and body
         * @param keyCreatedMillis time at which the key was created, in milliseconds since the Unix epoch
         */
        HomeClaim(long attempt, long requestHash, long keyCreatedMillis) {
            this.attempt = attempt;
            this.requestHash = requestHash;
            this.keyCreatedMillis = keyCreatedMillis;
        }
    }

    /**
     * A claim at its witness.
     *
     * @param home             name of the home's process
     * @param attempt          number that the home gave to the claim
     * @param keyCreatedMillis time at which the key was created, in milliseconds since the Unix epoch
     */
    private record WitnessClaim(String home, long attempt, long keyCreatedMillis) {}
}
