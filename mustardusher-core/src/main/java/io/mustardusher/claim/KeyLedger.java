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
 * The keys of one service that one node keeps, as home and as witness. It decides and remembers; messages are sent by
 * its user.
 *
 * <p>All methods hold the ledger's own lock. Futures are completed after it is released.
 *
 * @param <A> type of answers
 */
public final class KeyLedger<A> {

    /** Most bytes of answers kept. */
    private static final long ANSWER_BYTES = 4L << 20;

    private final Keeper self;

    private final Clock clock;

    /** Size of an answer in bytes. */
    private final ToIntFunction<A> sizeOf;

    /** Claims of which this node is or was the home, by key. */
    private final Map<IdempotencyKey, HomeClaim<A>> homes = new HashMap<>();

    /** Claims of which this node is or was the witness, by key. */
    private final Map<IdempotencyKey, WitnessClaim> witnessed = new HashMap<>();

    /** Coverage of this keeper. */
    private final Coverage coverage;

    /** Authority of this keeper. */
    private final Authority authority;

    /** The group as last learned; {@code null} before. */
    private ClaimGroup group;

    /** Number of the last claim. */
    private long lastAttempt;

    /** Bytes of answers kept. */
    private long answerBytes;

    /** Time for which keys are remembered, in milliseconds. */
    private long retentionMillis;

    /** Keys made before are refused, in milliseconds since the epoch; never falls. */
    private long horizonMillis;

    /**
     * Creates an empty ledger.
     *
     * @param self            this keeper
     * @param clock           source of time
     * @param retentionMillis time for which keys are remembered, in milliseconds
     * @param sizeOf          size of an answer in bytes
     */
    public KeyLedger(Keeper self, Clock clock, long retentionMillis, ToIntFunction<A> sizeOf) {
        this.self = self;
        this.clock = clock;
        this.retentionMillis = retentionMillis;
        this.sizeOf = sizeOf;
        this.coverage = new Coverage(self);
        this.authority = new Authority(clock);
    }

    /**
     * Lengthens or shortens the time for which new keys are remembered.
     *
     * @param millis time in milliseconds
     */
    public synchronized void retain(long millis) {
        retentionMillis = millis;
    }

    /**
     * Takes over a group as read from the table service. Earlier epochs change nothing.
     *
     * @param read       the group
     * @param rowVersion version of the row
     * @param askedNanos time at which the read was sent, in nanoseconds
     */
    public synchronized void adopt(ClaimGroup read, long rowVersion, long askedNanos) {
        boolean newer =
                group == null || read.current().number() > group.current().number();
        if (newer) {
            group = read;
            coverage.learn(read.epochs(), clock.epochMillis());
        }
        if (read.current().number() == group.current().number()) {
            authority.thaw(rowVersion);
            authority.confirm(askedNanos);
        }
    }

    /**
     * Extends the authority after all other keepers of the epoch have confirmed it.
     *
     * @param epoch      the epoch that they confirmed
     * @param askedNanos time at which the first of them was asked, in nanoseconds
     */
    public synchronized void confirmedByAll(long epoch, long askedNanos) {
        if (group != null && group.current().number() == epoch) {
            authority.confirm(askedNanos);
        }
    }

    /**
     * Stops granting and confirming until the row is seen at a later version; called before this node writes a new
     * epoch.
     *
     * @param rowVersion version of the row that the write replaces
     */
    public synchronized void freeze(long rowVersion) {
        authority.freeze(rowVersion);
    }

    /**
     * Answers another keeper that asks whether its epoch is the present one.
     *
     * @param epoch its epoch
     * @return the answer
     */
    public synchronized ConfirmReply confirm(long epoch) {
        long own = group == null ? 0 : group.current().number();
        boolean member = group != null && group.contains(self);
        boolean confirmed = own == epoch && member && authority.confirmsToOthers();
        return new ConfirmReply().withEpoch(own).withConfirmed(confirmed);
    }

    /**
     * Returns the group as last learned.
     *
     * @return the group, or empty before the first
     */
    public synchronized Optional<ClaimGroup> group() {
        return Optional.ofNullable(group);
    }

    /**
     * Tells whether this node may grant claims now.
     *
     * @return {@code true} if it is a keeper and its epoch is confirmed
     */
    public synchronized boolean hasAuthority() {
        return group != null && group.contains(self) && authority.isValid();
    }

    /**
     * Starts on a call with a key.
     *
     * @param key  the key
     * @param body hash over method, path and body
     * @return what to do
     */
    public synchronized Begin<A> begin(IdempotencyKey key, long body) {
        HomeClaim<A> present = homes.get(key);
        if (present != null && present.body != body) {
            return Begin.refuse(ResultCode.KEY_REUSED);
        }
        if (present != null && present.phase.isDecided()) {
            return Begin.join(present.answer);
        }
        if (group == null || !group.current().canGrant()) {
            return Begin.refuse(ResultCode.KEEPER_UNAVAILABLE);
        }
        KeeperPair pair = group.current().pair(key);
        if (!pair.home().equals(self)) {
            return Begin.elsewhere(pair.home());
        }
        ResultCode refusal = refusal(key, body);
        return refusal == null ? claim(key, body, pair.witness()) : Begin.refuse(refusal);
    }

    /**
     * Takes the witness's reply, or that none came. Only the first of them for a claim counts.
     *
     * @param key     the key
     * @param attempt number of the claim
     * @param reply   the reply, or {@code null} if none came
     * @return what to do
     */
    public Decision witnessReplied(IdempotencyKey key, long attempt, WitnessReply reply) {
        CompletableFuture<KeyedAnswer<A>> waiting;
        ResultCode code;
        Decision decision;
        synchronized (this) {
            HomeClaim<A> claim = homes.get(key);
            if (claim == null || claim.attempt != attempt || claim.phase != Phase.ASKING) {
                return Decision.NOTHING;
            }
            code = judge(key, reply);
            waiting = claim.answer;
            claim.phase = switch (code) {
                case OK -> Phase.DISPATCHED;
                case KEEPER_UNAVAILABLE -> Phase.RELEASED;
                default -> Phase.ENDED;
            };
            decision = claim.phase == Phase.RELEASED
                    ? new Decision(false, Optional.of(request(key, claim, true)))
                    : Decision.NOTHING;
        }
        if (code == ResultCode.OK) {
            return Decision.DISPATCH;
        }
        waiting.complete(new KeyedAnswer<>(code, null));
        return decision;
    }

    /**
     * Ends a dispatched claim.
     *
     * @param key     the key
     * @param attempt number of the claim
     * @param end     what became of the call
     * @return request by which the witness forgets the claim if nothing ran, otherwise empty
     */
    public Optional<WitnessRequest> end(IdempotencyKey key, long attempt, KeyedAnswer<A> end) {
        CompletableFuture<KeyedAnswer<A>> waiting;
        Optional<WitnessRequest> release = Optional.empty();
        synchronized (this) {
            HomeClaim<A> claim = homes.get(key);
            if (claim == null || claim.attempt != attempt || claim.phase != Phase.DISPATCHED) {
                return Optional.empty();
            }
            waiting = claim.answer;
            boolean notRun = end.code().outcome() == Outcome.NOT_RUN;
            claim.phase = notRun ? Phase.RELEASED : Phase.ENDED;
            if (notRun) {
                release = Optional.of(request(key, claim, true));
            } else {
                keep(claim, end);
            }
        }
        waiting.complete(end);
        return release;
    }

    /**
     * Answers a home as witness.
     *
     * @param request its request
     * @return the reply
     */
    public synchronized WitnessReply witness(WitnessRequest request) {
        IdempotencyKey key = new IdempotencyKey(request.getKey());
        WitnessClaim present = witnessed.get(key);
        boolean sameHome = present != null && present.home.equals(request.getHome());
        if (request.isRelease()) {
            if (sameHome && present.attempt == request.getAttempt()) {
                witnessed.remove(key);
            }
            return reply(Verdict.RECORDED, key);
        }
        if (group == null || group.current().number() != request.getEpoch() || !authority.isValid()) {
            return reply(Verdict.STALE_EPOCH, key);
        }
        if (!group.current().pair(key).contains(self)) {
            return reply(Verdict.NOT_A_WITNESS, key);
        }
        boolean knownAsHome = homes.containsKey(key) && homes.get(key).phase != Phase.RELEASED;
        boolean superseded = sameHome && request.getAttempt() >= present.attempt;
        if (knownAsHome || present != null && !superseded || isPastHorizon(key)) {
            return reply(Verdict.KNOWN, key);
        }
        witnessed.put(key, new WitnessClaim(request.getHome(), request.getAttempt(), madeAt(key)));
        return reply(Verdict.RECORDED, key);
    }

    /** Forgets keys so old that their age alone makes every keeper refuse them. */
    public synchronized void expire() {
        horizonMillis = Math.max(horizonMillis, clock.epochMillis() - retentionMillis);
        long oldest = horizonMillis - 2 * ClaimTiming.SKEW_MILLIS;
        witnessed.values().removeIf(claim -> claim.madeMillis < oldest);
        homes.values().removeIf(claim -> {
            boolean gone = claim.madeMillis < oldest && claim.phase.isOver();
            if (gone) {
                answerBytes -= claim.bytes;
            }
            return gone;
        });
    }

    /**
     * Returns the number of keys remembered.
     *
     * @return keys as home and as witness
     */
    public synchronized int size() {
        return homes.size() + witnessed.size();
    }

    /**
     * Tells why a new claim is refused before the witness is asked.
     *
     * @param key  the key
     * @param body hash over method, path and body
     * @return the code, or {@code null} if it is not
     */
    private ResultCode refusal(IdempotencyKey key, long body) {
        if (!authority.isValid()) {
            return ResultCode.KEEPER_UNAVAILABLE;
        }
        if (witnessed.containsKey(key)) {
            return ResultCode.KEY_OUTCOME_UNKNOWN;
        }
        OptionalLong made = key.madeAtMillis();
        long now = clock.epochMillis();
        if (made.isPresent() && made.getAsLong() > now + ClaimTiming.SKEW_MILLIS) {
            return ResultCode.KEY_FROM_FUTURE;
        }
        return isPastHorizon(key) ? ResultCode.KEY_TOO_OLD : null;
    }

    /**
     * Tells whether a key is so old that it may have been forgotten.
     *
     * @param key the key
     * @return {@code true} if it is
     */
    private boolean isPastHorizon(IdempotencyKey key) {
        horizonMillis = Math.max(horizonMillis, clock.epochMillis() - retentionMillis);
        OptionalLong made = key.madeAtMillis();
        return made.isPresent() && made.getAsLong() < horizonMillis;
    }

    /**
     * Records a claim and prepares the question for the witness.
     *
     * @param key     the key
     * @param body    hash over method, path and body
     * @param witness the witness
     * @return the start
     */
    private Begin<A> claim(IdempotencyKey key, long body, Keeper witness) {
        HomeClaim<A> claim = new HomeClaim<>(++lastAttempt, body, madeAt(key));
        homes.put(key, claim);
        return Begin.ask(witness, request(key, claim, false), claim.answer);
    }

    /**
     * Judges the witness's reply.
     *
     * @param key   the key
     * @param reply the reply, or {@code null}
     * @return {@link ResultCode#OK}, or why the call is refused
     */
    private ResultCode judge(IdempotencyKey key, WitnessReply reply) {
        if (reply == null || reply.getVerdict() == Verdict.STALE_EPOCH) {
            return ResultCode.KEEPER_UNAVAILABLE;
        }
        if (reply.getVerdict() == Verdict.NOT_A_WITNESS) {
            return ResultCode.KEEPER_UNAVAILABLE;
        }
        if (reply.getVerdict() == Verdict.KNOWN) {
            return ResultCode.KEY_OUTCOME_UNKNOWN;
        }
        long covered = Math.min(coverage.since(group.epochs(), key), reply.getCoveredSince());
        long earliest = key.madeAtMillis().orElse(clock.epochMillis() - retentionMillis);
        boolean vouched = covered == Coverage.ALWAYS || covered < earliest - 2 * ClaimTiming.SKEW_MILLIS;
        return vouched ? ResultCode.OK : ResultCode.KEY_TOO_OLD;
    }

    /**
     * Keeps an answer as far as the memory for answers allows.
     *
     * @param claim the claim
     * @param end   what became of the call
     */
    private void keep(HomeClaim<A> claim, KeyedAnswer<A> end) {
        int bytes = end.answer() == null ? 0 : sizeOf.applyAsInt(end.answer());
        if (answerBytes + bytes > ANSWER_BYTES) {
            claim.answer = CompletableFuture.completedFuture(new KeyedAnswer<>(ResultCode.ANSWER_EXPIRED, null));
            return;
        }
        claim.bytes = bytes;
        answerBytes += bytes;
    }

    /**
     * Writes a request to the witness.
     *
     * @param key     the key
     * @param claim   the claim
     * @param release whether nothing ran
     * @return the request
     */
    private WitnessRequest request(IdempotencyKey key, HomeClaim<A> claim, boolean release) {
        return new WitnessRequest()
                .withService(group.service())
                .withKey(key.value())
                .withEpoch(group.current().number())
                .withAttempt(claim.attempt)
                .withHome(self.process())
                .withBody(claim.body)
                .withRelease(release);
    }

    /**
     * Writes a reply of the witness.
     *
     * @param verdict the verdict
     * @param key     the key
     * @return the reply
     */
    private WitnessReply reply(Verdict verdict, IdempotencyKey key) {
        long epoch = group == null ? 0 : group.current().number();
        long since = group == null ? Coverage.NEVER : coverage.since(group.epochs(), key);
        return new WitnessReply().withVerdict(verdict).withEpoch(epoch).withCoveredSince(since);
    }

    /**
     * Returns when a key was made, or the present time for an opaque one.
     *
     * @param key the key
     * @return milliseconds since the epoch
     */
    private long madeAt(IdempotencyKey key) {
        return key.madeAtMillis().orElse(clock.epochMillis());
    }

    /** Where a claim stands at its home. */
    private enum Phase {
        /** The witness was asked. */
        ASKING,

        /** The call may be running. */
        DISPATCHED,

        /** Nothing ran; the key may be claimed again. */
        RELEASED,

        /** The call ran, may have run, or will never run. */
        ENDED;

        /**
         * Tells whether a further send waits for or gets the answer of this claim.
         *
         * @return {@code true} if so
         */
        boolean isDecided() {
            return this != RELEASED;
        }

        /**
         * Tells whether nothing is under way.
         *
         * @return {@code true} if so
         */
        boolean isOver() {
            return this == RELEASED || this == ENDED;
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

        /** Hash over method, path and body. */
        private final long body;

        /** Time at which the key was made, in milliseconds since the epoch. */
        private final long madeMillis;

        /** Answer for everyone who waits. */
        private CompletableFuture<KeyedAnswer<A>> answer = new CompletableFuture<>();

        /** Where it stands. */
        private Phase phase = Phase.ASKING;

        /** Bytes of the kept answer. */
        private int bytes;

        /**
         * Creates a claim.
         *
         * @param attempt       number of the claim
         * @param body          hash over method, path and body
         * @param madeMillis    time at which the key was made, in milliseconds since the epoch
         */
        HomeClaim(long attempt, long body, long madeMillis) {
            this.attempt = attempt;
            this.body = body;
            this.madeMillis = madeMillis;
        }
    }

    /**
     * A claim at its witness.
     *
     * @param home          process of the home
     * @param attempt       number of the claim
     * @param madeMillis    time at which the key was made, in milliseconds since the epoch
     */
    private record WitnessClaim(String home, long attempt, long madeMillis) {}
}
