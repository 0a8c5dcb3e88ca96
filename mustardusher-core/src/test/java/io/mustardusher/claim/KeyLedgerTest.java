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

    private static final long RETENTION = 600_000;

    private final Clock.Manual clock = new Clock.Manual();
    private final Keeper a = new Keeper("a", 1, "x");
    private final Keeper b = new Keeper("b", 1, "y");
    private final ClaimGroup group = ClaimGroup.first("s", a).withKeeper(b);
    private final KeyLedger<String> home = new KeyLedger<>(a, clock, RETENTION, String::length);
    private final KeyLedger<String> witness = new KeyLedger<>(b, clock, RETENTION, String::length);
    private IdempotencyKey key;

    @BeforeEach
    void adopt() {
        home.adopt(group, 1, clock.nanoTime());
        witness.adopt(group, 1, clock.nanoTime());
        key = keyAt(home, 1);
    }

    @Test
    void callIsDispatchedOnceTheWitnessHasRecordedIt() {
        Begin<String> begin = home.begin(key, 1);
        assertThat(begin.step()).isEqualTo(Begin.Step.ASK_WITNESS);
        assertThat(reply(begin, witness.witness(begin.request())).dispatch()).isTrue();
    }

    @Test
    void secondSendWaitsForTheFirst() {
        Begin<String> first = home.begin(key, 1);
        Begin<String> second = home.begin(key, 1);
        assertThat(second.step()).isEqualTo(Begin.Step.JOIN);
        reply(first, witness.witness(first.request()));
        home.end(key, first.attempt(), new KeyedAnswer<>(ResultCode.OK, "done"));
        assertThat(second.answer().join().answer()).isEqualTo("done");
    }

    @Test
    void sameKeyWithAnotherBodyIsRefused() {
        home.begin(key, 1);
        assertThat(home.begin(key, 2).code()).isEqualTo(ResultCode.KEY_REUSED);
    }

    @Test
    void witnessThatTakesOverDoesNotRunWhatItRecorded() {
        Begin<String> begin = home.begin(key, 1);
        witness.witness(begin.request());
        witness.adopt(group.withoutKeepers(List.of(a)).withKeeper(new Keeper("c", 1, "z")), 2, clock.nanoTime());
        for (int i = 0; i < 50; i++) {
            Begin<String> again = witness.begin(key, 1);
            assertThat(again.step()).isNotEqualTo(Begin.Step.ASK_WITNESS);
        }
    }

    @Test
    void silentWitnessMeansNothingIsDispatchedAndTheClaimIsGivenBack() {
        Begin<String> begin = home.begin(key, 1);
        Decision decision = home.witnessReplied(key, begin.attempt(), null);
        assertThat(decision.dispatch()).isFalse();
        assertThat(decision.release()).isPresent();
        assertThat(begin.answer().join().code()).isEqualTo(ResultCode.KEEPER_UNAVAILABLE);
    }

    @Test
    void lateReplyAfterTheTimeLimitDispatchesNothing() {
        Begin<String> begin = home.begin(key, 1);
        WitnessReply late = witness.witness(begin.request());
        home.witnessReplied(key, begin.attempt(), null);
        assertThat(reply(begin, late)).isEqualTo(Decision.NOTHING);
    }

    @Test
    void timeLimitAfterTheReplyGivesNothingBack() {
        Begin<String> begin = home.begin(key, 1);
        reply(begin, witness.witness(begin.request()));
        assertThat(home.witnessReplied(key, begin.attempt(), null)).isEqualTo(Decision.NOTHING);
    }

    @Test
    void callThatWasNotRunMayBeClaimedAgain() {
        Begin<String> first = home.begin(key, 1);
        reply(first, witness.witness(first.request()));
        WitnessRequest release = home.end(key, first.attempt(), new KeyedAnswer<>(ResultCode.OVERLOADED, null))
                .orElseThrow();
        witness.witness(release);
        Begin<String> second = home.begin(key, 1);
        assertThat(reply(second, witness.witness(second.request())).dispatch()).isTrue();
    }

    @Test
    void delayedReleaseDoesNotForgetALaterClaim() {
        Begin<String> first = home.begin(key, 1);
        reply(first, witness.witness(first.request()));
        WitnessRequest release = home.end(key, first.attempt(), new KeyedAnswer<>(ResultCode.OVERLOADED, null))
                .orElseThrow();
        Begin<String> second = home.begin(key, 1);
        reply(second, witness.witness(second.request()));
        witness.witness(release);
        assertThat(witness.size()).isEqualTo(1);
    }

    @Test
    void keeperWithoutConfirmationGrantsNothing() {
        clock.advanceMillis(ClaimTiming.AUTHORITY_MILLIS);
        assertThat(home.begin(keyAt(home, 2), 1).code()).isEqualTo(ResultCode.KEEPER_UNAVAILABLE);
        home.confirmedByAll(2, clock.nanoTime());
        assertThat(home.begin(keyAt(home, 3), 1).step()).isEqualTo(Begin.Step.ASK_WITNESS);
    }

    @Test
    void keeperThatWritesAnEpochConfirmsAndGrantsNothingUntilTheRowIsLater() {
        witness.freeze(1);
        assertThat(witness.confirm(2).isConfirmed()).isFalse();
        witness.adopt(group, 1, clock.nanoTime());
        assertThat(witness.confirm(2).isConfirmed()).isFalse();
        witness.adopt(group, 2, clock.nanoTime());
        assertThat(witness.confirm(2).isConfirmed()).isTrue();
    }

    @Test
    void newKeeperDoesNotVouchForKeysMadeBeforeItCouldKnow() {
        Keeper c = new Keeper("c", 1, "x");
        Keeper d = new Keeper("d", 1, "y");
        ClaimGroup later = group.withKeeper(c).withKeeper(d).withoutKeepers(List.of(a, b));
        KeyLedger<String> newHome = new KeyLedger<>(c, clock, RETENTION, String::length);
        KeyLedger<String> newWitness = new KeyLedger<>(d, clock, RETENTION, String::length);
        newHome.adopt(later, 2, clock.nanoTime());
        newWitness.adopt(later, 2, clock.nanoTime());
        IdempotencyKey old = keyAt(newHome, 9);
        Begin<String> begin = newHome.begin(old, 1);
        Decision decision = newHome.witnessReplied(old, begin.attempt(), newWitness.witness(begin.request()));
        assertThat(decision.dispatch()).isFalse();
        assertThat(begin.answer().join().code()).isEqualTo(ResultCode.KEY_TOO_OLD);
    }

    @Test
    void keyFromTheFutureIsRefused() {
        Clock.Manual ahead = new Clock.Manual();
        ahead.advanceMillis(ClaimTiming.SKEW_MILLIS + 1);
        IdempotencyKey future = homeKey(home, ahead, new Random(5));
        assertThat(home.begin(future, 1).code()).isEqualTo(ResultCode.KEY_FROM_FUTURE);
    }

    @Test
    void forgottenKeyIsRefusedForItsAge() {
        Begin<String> begin = home.begin(key, 1);
        reply(begin, witness.witness(begin.request()));
        home.end(key, begin.attempt(), new KeyedAnswer<>(ResultCode.OK, "done"));
        clock.advanceMillis(RETENTION + 3 * ClaimTiming.SKEW_MILLIS);
        home.expire();
        assertThat(home.size()).isEqualTo(0);
        home.confirmedByAll(2, clock.nanoTime());
        assertThat(home.begin(key, 1).code()).isEqualTo(ResultCode.KEY_TOO_OLD);
    }

    @Test
    void longerRetentionDoesNotBringForgottenKeysBack() {
        clock.advanceMillis(RETENTION + 3 * ClaimTiming.SKEW_MILLIS);
        home.expire();
        home.retain(10 * RETENTION);
        home.confirmedByAll(2, clock.nanoTime());
        assertThat(home.begin(key, 1).code()).isEqualTo(ResultCode.KEY_TOO_OLD);
    }

    @Test
    void singleKeeperGrantsNothing() {
        KeyLedger<String> alone = new KeyLedger<>(a, clock, RETENTION, String::length);
        alone.adopt(ClaimGroup.first("s", a), 1, clock.nanoTime());
        assertThat(alone.begin(key, 1).code()).isEqualTo(ResultCode.KEEPER_UNAVAILABLE);
    }

    private Decision reply(Begin<String> begin, WitnessReply reply) {
        return home.witnessReplied(key, begin.attempt(), reply);
    }

    private IdempotencyKey keyAt(KeyLedger<String> ledger, long seed) {
        return homeKey(ledger, clock, new Random(seed));
    }

    /** Makes a key of which the ledger's keeper is the home. */
    private IdempotencyKey homeKey(KeyLedger<String> ledger, Clock made, Random random) {
        while (true) {
            IdempotencyKey candidate = IdempotencyKey.make(made, random);
            String home = ledger.group()
                    .orElseThrow()
                    .current()
                    .pair(candidate)
                    .home()
                    .id();
            boolean own = ledger == this.home ? home.equals("a") : home.equals("c");
            if (own) {
                return candidate;
            }
        }
    }
}
