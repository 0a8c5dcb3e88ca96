package io.mustardusher.allowance;

import java.util.List;
import java.util.Map;

import io.mustardusher.account.Account;
import io.mustardusher.account.AccountName;
import io.mustardusher.generated.AllowanceAsk;
import io.mustardusher.generated.AllowanceGrant;
import io.mustardusher.generated.AllowanceRequest;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class AllowanceLedgerTest {

    private static final long BOOT = 7;
    private static final long WINDOW = 5_000 * Clock.NANOS_PER_MILLI;
    private static final Account ACCOUNT = AllowanceHistoriesTest.account(10, 20);
    private static final Account LOWER = AllowanceHistoriesTest.account(1, 20);
    private static final AllowanceBounds BOUNDS = new AllowanceBounds(WINDOW, 0.1, 20);
    private static final AccountGroup GROUP = AccountGroup.of(ACCOUNT.name());

    private final Clock.Manual clock = new Clock.Manual();
    private final AllowanceLedger ledger = new AllowanceLedger(BOOT, BOUNDS, clock);

    private long sequence;

    @Test
    void grantsNothingWithoutShares() {
        AllowanceGrant grant = ask(message(0), 1, 0);
        assertThat(grant.getTokens()).isEqualTo(0);
        assertThat(grant.getDelayMicros()).isLessThan(0);
    }

    @Test
    void refusalStatesTimeUntilNextToken() {
        ledger.answer(message(1));
        assertThat(ask(message(1), 1, 0).getDelayMicros()).isEqualTo(microsPerToken(ACCOUNT, 1));
        clock.advanceMillis(40);
        assertThat(ask(message(1), 1, 0).getDelayMicros()).isEqualTo(microsPerToken(ACCOUNT, 1) - 40_000);
        clock.advanceMillis(microsPerToken(ACCOUNT, 1) / 1_000 - 39);
        assertThat(ask(message(1), 1, 0).getTokens()).isEqualTo(1);
    }

    @Test
    void twoHalvesGrantWhatOneShareDoes() {
        ledger.answer(message(2));
        assertThat(ask(message(2), 1, 0).getDelayMicros()).isEqualTo(microsPerToken(ACCOUNT, 0.5));
        ledger.answer(message(2).withFrom("other"));
        assertThat(ask(message(2), 1, 0).getDelayMicros()).isEqualTo(microsPerToken(ACCOUNT, 1));
    }

    /** Guards against a share that is held again because its last delegation was overtaken by its release. */
    @Test
    void messageOvertakenByReleaseIsIgnored() {
        AllowanceRequest late = message(1);
        ledger.answer(message(0));
        ledger.answer(late);
        assertThat(ledger.share(GROUP)).isEqualTo(0);
    }

    @Test
    void delegationEndsAfterItsValidityAndTakesItsTokensAlong() {
        ledger.answer(message(1));
        clock.advanceMillis(1_100);
        assertThat(ask(message(0).withFrom("asker"), 1, 0).getTokens()).isEqualTo(1);
        clock.advanceMillis(100);
        assertThat(ask(message(0).withFrom("asker"), 1, 0).getTokens()).isEqualTo(0);
        ledger.answer(message(1));
        assertThat(ask(message(1), 1, 0).getTokens()).isEqualTo(0);
    }

    /** Guards against tokens that expire unused while the account needs them elsewhere. */
    @Test
    void extraTokensComeFromUpperHalfOfBucket() {
        ledger.answer(message(1).withIdleMillis(60_000));
        int granted = (int) ask(message(1), 0, 1_000).getTokens();
        int left = (int) ask(message(1), 1_000, 0).getTokens();
        assertThat(granted).isGreaterThan(0);
        assertThat(Math.abs(granted - left)).isAtMost(1);
    }

    @Test
    void laterVersionOfLimitApplies() {
        ledger.configure(3, Map.of(ACCOUNT.name(), LOWER));
        ledger.answer(message(1));
        assertThat(ask(message(1), 1, 0).getDelayMicros()).isEqualTo(microsPerToken(LOWER, 1));
        AllowanceRequest later = message(1).withAsks(List.of(askOf(1, 0).withVersion(4)));
        assertThat(ledger.answer(later).getGrants().get(0).getDelayMicros()).isEqualTo(microsPerToken(ACCOUNT, 1));
    }

    @Test
    void accountWithoutLimitInLaterVersionIsNotRefused() {
        ledger.configure(3, Map.of(AccountName.of("another"), ACCOUNT));
        assertThat(ask(message(0), 5, 0).getTokens()).isEqualTo(5);
    }

    private AllowanceGrant ask(AllowanceRequest message, int needed, int extra) {
        return ledger.answer(message.withAsks(List.of(askOf(needed, extra))))
                .getGrants()
                .get(0);
    }

    private static long microsPerToken(Account account, double share) {
        double refill = BOUNDS.plan(account.ratePerSecond(), account.burst()).refillPerSecond();
        return (long) Math.ceil(1e6 / (refill * share));
    }

    private static AllowanceAsk askOf(int needed, int extra) {
        return new AllowanceAsk()
                .withAccount(ACCOUNT.name().value())
                .withNeeded(needed)
                .withExtra(extra)
                .withVersion(2)
                .withRate(ACCOUNT.ratePerSecond())
                .withBurst(ACCOUNT.burst());
    }

    private AllowanceRequest message(long divisor) {
        return new AllowanceRequest()
                .withFrom("node")
                .withBoot(1)
                .withSequence(++sequence)
                .withGroup(GROUP.number())
                .withStampBoot(BOOT)
                .withStamp(clock.nanoTime())
                .withValidMillis(1_200)
                .withDivisor(divisor);
    }
}
