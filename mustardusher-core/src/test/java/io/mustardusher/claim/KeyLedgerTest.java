package io.mustardusher.claim;

import java.util.List;
import java.util.Random;

import io.mustardusher.generated.WitnessReply;
import io.mustardusher.generated.WitnessRequest;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class KeyLedgerTest {

    private static final long RETENTION_MILLIS = 600_000;

    private final Clock.Manual clock = new Clock.Manual();
    private final Keeper a = new Keeper("a", 1, "x");
    private final Keeper b = new Keeper("b", 1, "y");
    private final ClaimGroup group = ClaimGroup.create("s", a).withKeeper(b);
    private final KeyLedger<String> home = new KeyLedger<>(a, clock, RETENTION_MILLIS, String::length);
    private final KeyLedger<String> witness = new KeyLedger<>(b, clock, RETENTION_MILLIS, String::length);
    private IdempotencyKey key;

    @BeforeEach
    void applyGroup() {
        home.applyGroup(group, 1, clock.nanoTime());
        witness.applyGroup(group, 1, clock.nanoTime());
        key = homeKey(home, 1);
    }

    @Test
    void dispatchesCallAfterWitnessHasRecordedClaim() {
        ClaimDecision<String> claim = home.claim(key, 1);
        assertThat(claim.action()).isEqualTo(ClaimDecision.Action.ASK_WITNESS);
        assertThat(applyReply(claim, witness.handleWitnessRequest(claim.request()))
                        .dispatch())
                .isTrue();
    }

    @Test
    void secondCallWithSameKeyGetsResultOfFirst() {
        ClaimDecision<String> first = home.claim(key, 1);
        ClaimDecision<String> second = home.claim(key, 1);
        assertThat(second.action()).isEqualTo(ClaimDecision.Action.JOIN);
        applyReply(first, witness.handleWitnessRequest(first.request()));
        home.complete(key, first.attempt(), new KeyedResult<>(ResultCode.OK, "done"));
        assertThat(second.result().join().answer()).isEqualTo("done");
    }

    @Test
    void rejectsSameKeyWithDifferentRequestHash() {
        home.claim(key, 1);
        assertThat(home.claim(key, 2).code()).isEqualTo(ResultCode.KEY_REUSED);
    }

    @Test
    void neverRunsKeyRecordedAsWitnessAfterHomeIsRemoved() {
        ClaimDecision<String> claim = home.claim(key, 1);
        witness.handleWitnessRequest(claim.request());
        witness.applyGroup(group.withoutKeepers(List.of(a)).withKeeper(new Keeper("c", 1, "z")), 2, clock.nanoTime());
        for (int i = 0; i < 50; i++) {
            ClaimDecision<String> again = witness.claim(key, 1);
            assertThat(again.action()).isNotEqualTo(ClaimDecision.Action.ASK_WITNESS);
        }
    }

    @Test
    void releasesClaimWithoutDispatchWhenWitnessTimesOut() {
        ClaimDecision<String> claim = home.claim(key, 1);
        DispatchDecision decision = home.handleWitnessReply(key, claim.attempt(), null);
        assertThat(decision.dispatch()).isFalse();
        assertThat(decision.release()).isPresent();
        assertThat(claim.result().join().code()).isEqualTo(ResultCode.KEEPER_UNAVAILABLE);
    }

    @Test
    void ignoresWitnessReplyAfterTimeout() {
        ClaimDecision<String> claim = home.claim(key, 1);
        WitnessReply late = witness.handleWitnessRequest(claim.request());
        home.handleWitnessReply(key, claim.attempt(), null);
        assertThat(applyReply(claim, late)).isEqualTo(DispatchDecision.NO_ACTION);
    }

    @Test
    void ignoresTimeoutAfterWitnessReply() {
        ClaimDecision<String> claim = home.claim(key, 1);
        applyReply(claim, witness.handleWitnessRequest(claim.request()));
        assertThat(home.handleWitnessReply(key, claim.attempt(), null)).isEqualTo(DispatchDecision.NO_ACTION);
    }

    @Test
    void acceptsNewClaimAfterCallDidNotRun() {
        ClaimDecision<String> first = home.claim(key, 1);
        applyReply(first, witness.handleWitnessRequest(first.request()));
        WitnessRequest release = home.complete(key, first.attempt(), new KeyedResult<>(ResultCode.OVERLOADED, null))
                .orElseThrow();
        witness.handleWitnessRequest(release);
        ClaimDecision<String> second = home.claim(key, 1);
        assertThat(applyReply(second, witness.handleWitnessRequest(second.request()))
                        .dispatch())
                .isTrue();
    }

    @Test
    void delayedReleaseKeepsLaterClaim() {
        ClaimDecision<String> first = home.claim(key, 1);
        applyReply(first, witness.handleWitnessRequest(first.request()));
        WitnessRequest release = home.complete(key, first.attempt(), new KeyedResult<>(ResultCode.OVERLOADED, null))
                .orElseThrow();
        ClaimDecision<String> second = home.claim(key, 1);
        applyReply(second, witness.handleWitnessRequest(second.request()));
        witness.handleWitnessRequest(release);
        assertThat(witness.size()).isEqualTo(1);
    }

    @Test
    void rejectsClaimsAfterLeaseExpires() {
        clock.advanceMillis(ClaimLimits.LEASE_MILLIS);
        assertThat(home.claim(homeKey(home, 2), 1).code()).isEqualTo(ResultCode.KEEPER_UNAVAILABLE);
        home.renewLease(2, clock.nanoTime());
        assertThat(home.claim(homeKey(home, 3), 1).action()).isEqualTo(ClaimDecision.Action.ASK_WITNESS);
    }

    @Test
    void suspendedKeeperDoesNotConfirmUntilLaterRowIsRead() {
        witness.suspend(1);
        assertThat(witness.confirm(2).isConfirmed()).isFalse();
        witness.applyGroup(group, 1, clock.nanoTime());
        assertThat(witness.confirm(2).isConfirmed()).isFalse();
        witness.applyGroup(group, 2, clock.nanoTime());
        assertThat(witness.confirm(2).isConfirmed()).isTrue();
    }

    @Test
    void rejectsKeyCreatedBeforeHomeAndWitnessCoverIt() {
        Keeper c = new Keeper("c", 1, "x");
        Keeper d = new Keeper("d", 1, "y");
        ClaimGroup later = group.withKeeper(c).withKeeper(d).withoutKeepers(List.of(a, b));
        KeyLedger<String> newHome = new KeyLedger<>(c, clock, RETENTION_MILLIS, String::length);
        KeyLedger<String> newWitness = new KeyLedger<>(d, clock, RETENTION_MILLIS, String::length);
        newHome.applyGroup(later, 2, clock.nanoTime());
        newWitness.applyGroup(later, 2, clock.nanoTime());
        IdempotencyKey old = homeKey(newHome, 9);
        ClaimDecision<String> claim = newHome.claim(old, 1);
        DispatchDecision decision =
                newHome.handleWitnessReply(old, claim.attempt(), newWitness.handleWitnessRequest(claim.request()));
        assertThat(decision.dispatch()).isFalse();
        assertThat(claim.result().join().code()).isEqualTo(ResultCode.KEY_TOO_OLD);
    }

    @Test
    void rejectsKeyCreatedInTheFuture() {
        Clock.Manual ahead = new Clock.Manual();
        ahead.advanceMillis(ClaimLimits.MAX_CLOCK_SKEW_MILLIS + 1);
        IdempotencyKey future = homeKey(home, ahead, new Random(5));
        assertThat(home.claim(future, 1).code()).isEqualTo(ResultCode.KEY_FROM_FUTURE);
    }

    @Test
    void rejectsEvictedKeyForItsAge() {
        ClaimDecision<String> claim = home.claim(key, 1);
        applyReply(claim, witness.handleWitnessRequest(claim.request()));
        home.complete(key, claim.attempt(), new KeyedResult<>(ResultCode.OK, "done"));
        clock.advanceMillis(RETENTION_MILLIS + 3 * ClaimLimits.MAX_CLOCK_SKEW_MILLIS);
        home.expire();
        assertThat(home.size()).isEqualTo(0);
        home.renewLease(2, clock.nanoTime());
        assertThat(home.claim(key, 1).code()).isEqualTo(ResultCode.KEY_TOO_OLD);
    }

    @Test
    void rejectsEvictedKeyAfterRetentionIsExtended() {
        clock.advanceMillis(RETENTION_MILLIS + 3 * ClaimLimits.MAX_CLOCK_SKEW_MILLIS);
        home.expire();
        home.updateRetention(10 * RETENTION_MILLIS);
        home.renewLease(2, clock.nanoTime());
        assertThat(home.claim(key, 1).code()).isEqualTo(ResultCode.KEY_TOO_OLD);
    }

    @Test
    void rejectsClaimsWhenGroupHasSingleKeeper() {
        KeyLedger<String> alone = new KeyLedger<>(a, clock, RETENTION_MILLIS, String::length);
        alone.applyGroup(ClaimGroup.create("s", a), 1, clock.nanoTime());
        assertThat(alone.claim(key, 1).code()).isEqualTo(ResultCode.KEEPER_UNAVAILABLE);
    }

    private DispatchDecision applyReply(ClaimDecision<String> claim, WitnessReply reply) {
        return home.handleWitnessReply(key, claim.attempt(), reply);
    }

    private IdempotencyKey homeKey(KeyLedger<String> ledger, long seed) {
        return homeKey(ledger, clock, new Random(seed));
    }

    /** Generates a key whose home is the ledger's keeper. */
    private IdempotencyKey homeKey(KeyLedger<String> ledger, Clock creation, Random random) {
        while (true) {
            IdempotencyKey candidate = IdempotencyKey.generate(creation, random);
            String home = ledger.group()
                    .orElseThrow()
                    .current()
                    .pairFor(candidate)
                    .home()
                    .id();
            boolean own = ledger == this.home ? home.equals("a") : home.equals("c");
            if (own) {
                return candidate;
            }
        }
    }
}
