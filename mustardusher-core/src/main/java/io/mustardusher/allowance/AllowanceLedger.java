package io.mustardusher.allowance;

import java.util.Map;

import io.mustardusher.account.Account;
import io.mustardusher.account.AccountName;
import io.mustardusher.generated.AllowanceAsk;
import io.mustardusher.generated.AllowanceGrant;
import io.mustardusher.generated.AllowanceReply;
import io.mustardusher.generated.AllowanceRequest;
import io.mustardusher.time.Clock;

/**
 * The coordinator's side: shares that nodes have delegated to this one, and the tokens that it grants in return. Any
 * node answers for any group; without shares it grants nothing. Not thread-safe.
 */
public final class AllowanceLedger {

    private final long boot;
    private final AllowanceBounds bounds;
    private final Clock clock;
    private final Clock expiryClock;
    private final GroupLedger[] groups = new GroupLedger[AccountGroup.COUNT];

    /** Version of this node's configuration; 0 before the first one. */
    private long version;

    /** Limited accounts of this node's configuration. */
    private Map<AccountName, Account> limited = Map.of();

    /**
     * Creates a ledger without shares.
     *
     * @param boot   start time of this process, in milliseconds since the Unix epoch
     * @param bounds bound on the requests of an account
     * @param clock  source of time
     */
    public AllowanceLedger(long boot, AllowanceBounds bounds, Clock clock) {
        this.boot = boot;
        this.bounds = bounds;
        this.clock = clock;
        this.expiryClock = new SuspensionClock(clock);
        for (int i = 0; i < groups.length; i++) {
            groups[i] = new GroupLedger(boot, bounds.grantWindowNanos(), expiryClock.nanoTime(), clock.nanoTime());
        }
    }

    /**
     * Sets the limits of this node's configuration. Of two versions, the later one of the node that asks and this node
     * applies.
     *
     * @param newVersion version of the configuration
     * @param accounts   limited accounts
     */
    public void configure(long newVersion, Map<AccountName, Account> accounts) {
        version = newVersion;
        limited = accounts;
        for (GroupLedger group : groups) {
            group.settle(expiryClock.nanoTime(), clock.nanoTime());
            group.removeFullBuckets();
        }
    }

    /**
     * Answers a message.
     *
     * @param request the message
     * @return the reply
     */
    public AllowanceReply answer(AllowanceRequest request) {
        long now = expiryClock.nanoTime();
        AllowanceReply reply = new AllowanceReply().withBoot(boot).withStamp(now);
        if (request.getGroup() < 0 || request.getGroup() >= groups.length) {
            return reply;
        }
        GroupLedger group = groups[(int) request.getGroup()];
        group.settle(now, clock.nanoTime());
        group.apply(request, now);
        for (AllowanceAsk ask : request.getAsks()) {
            reply.getGrants().add(grant(group, ask));
        }
        return reply.withMembers(group.members());
    }

    /**
     * Returns the sum of the shares of a group that this node holds now.
     *
     * @param group the group
     * @return sum of the shares, at most 1
     */
    public double share(AccountGroup group) {
        GroupLedger ledger = groups[group.number()];
        ledger.settle(expiryClock.nanoTime(), clock.nanoTime());
        return ledger.share();
    }

    private AllowanceGrant grant(GroupLedger group, AllowanceAsk ask) {
        AccountName account = AccountName.of(ask.getAccount());
        long limitVersion = ask.getVersion();
        double rate = ask.getRate();
        double burst = ask.getBurst();
        if (version > 0 && version >= limitVersion) {
            Account own = limited.get(account);
            if (own == null) {
                return new AllowanceGrant().withTokens(Math.max(0, ask.getNeeded()));
            }
            limitVersion = version;
            rate = own.ratePerSecond();
            burst = own.burst();
        }
        AccountBucket bucket = group.bucket(account, bounds.plan(rate, burst), limitVersion);
        double share = group.share();
        double advance = group.advanceShare();
        int tokens = bucket.take(ask.getNeeded(), advance);
        boolean enough = tokens >= ask.getNeeded();
        return new AllowanceGrant()
                .withTokens(enough ? tokens + bucket.takeExtra(ask.getExtra(), share) : tokens)
                .withDelayMicros(enough ? 0 : bucket.microsUntilNext(share, advance));
    }
}
