package io.mustardusher.allowance;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import io.mustardusher.account.AccountName;
import io.mustardusher.generated.AllowanceRequest;
import io.mustardusher.time.Clock;

/**
 * The shares of one group that a coordinator holds, and the buckets of the group's accounts. A bucket never holds more
 * than its capacity times the shares held, and is refilled by the rate times the shares held; so the tokens of all
 * coordinators together stay within those of a single bucket, wherever the shares are.
 *
 * <p>Delegations end by a clock that counts suspensions; tokens are earned by one that does not, because a step of the
 * wall clock looks like a suspension.
 */
final class GroupLedger {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Time after a node's last message for which its number is remembered, in nanoseconds: above any validity. */
    private static final long SENDER_MEMORY_NANOS = 2 * DelegationTiming.MAX_VALIDITY_NANOS;

    private final long boot;

    /** Time before now in which tokens that are used in one window can have been granted, in nanoseconds. */
    private final long memoryNanos;

    private final Map<String, Holding> holdings = new HashMap<>();
    private final Map<AccountName, AccountBucket> buckets = new HashMap<>();

    /** Sum of the shares held. */
    private double share;

    /** Sum of the shares held over time, in seconds. */
    private double shareSeconds;

    /** Time until which {@link #shareSeconds} is computed, in nanoseconds. */
    private long settledNanos;

    /** Time until which tokens are earned, in nanoseconds of the clock that does not count suspensions. */
    private long earnedNanos;

    /** Earliest time at which a holding or an advance may end, in nanoseconds; only valid if something is held. */
    private long nextEndNanos;

    private double advanceShare;
    private long members;

    GroupLedger(long boot, long memoryNanos, long now, long earned) {
        this.boot = boot;
        this.memoryNanos = memoryNanos;
        this.settledNanos = now;
        this.earnedNanos = earned;
    }

    // Views of the membership that differ for a moment may add up to more than 1.
    double share() {
        return Math.min(1, share);
    }

    double advanceShare() {
        return Math.min(1, advanceShare);
    }

    /**
     * Accounts for the time until now, and ends holdings whose time has passed.
     *
     * @param now    current time of the clock that counts suspensions, in nanoseconds
     * @param earned current time of the clock that does not, in nanoseconds
     */
    void settle(long now, long earned) {
        long elapsedNanos = earned - earnedNanos;
        long beforeNanos = settledNanos;
        settledNanos = now;
        earnedNanos = earned;
        boolean active = share > 0 || advanceShare > 0;
        if (!active || now - nextEndNanos < 0) {
            shareSeconds += share() * elapsedNanos / NANOS_PER_SECOND;
            return;
        }
        double held = 0;
        for (Holding holding : holdings.values()) {
            held += holding.share * Math.max(0, Math.min(elapsedNanos, holding.endNanos - beforeNanos));
        }
        shareSeconds += Math.min(held, elapsedNanos) / NANOS_PER_SECOND;
        holdings.values().forEach(holding -> holding.end(now));
        sum(now);
        refillBuckets();
    }

    /**
     * Applies the delegation of a message. The ledger must be settled.
     *
     * @param request the message
     * @param now     current time, in nanoseconds
     */
    void apply(AllowanceRequest request, long now) {
        long validity = Math.min(DelegationTiming.MAX_VALIDITY_NANOS, request.getValidMillis() * Clock.NANOS_PER_MILLI);
        long endNanos = request.getStamp() + validity;
        boolean valid = request.getStampBoot() == boot && request.getStamp() - now <= 0 && endNanos - now > 0;
        double next = valid && request.getDivisor() > 0 ? 1.0 / request.getDivisor() : 0;
        Holding holding = holdings.get(request.getFrom());
        if (holding == null || request.getBoot() != holding.boot) {
            // After a step of the wall clock a later process may have an earlier start time. Delegations of the process
            // before it have ended when its own begin.
            if (holding != null && request.getBoot() < holding.boot && next == 0) {
                return;
            }
            dropSilentSenders(now);
            holding = replace(request, now);
        } else if (request.getSequence() <= holding.sequence) {
            return;
        }
        holding.sequence = request.getSequence();
        holding.lastNanos = now;
        boolean advances = valid && request.getAdvance() > 0;
        if (next == holding.share && request.getMembers() == holding.members && !advances) {
            // Most messages only renew a delegation. The sums stay valid, and the next end is early at worst.
            holding.endNanos = endNanos;
            nextEndNanos = endNanos - nextEndNanos < 0 ? endNanos : nextEndNanos;
            return;
        }
        refillBuckets();
        if (advances) {
            holding.advance = 1.0 / request.getAdvance();
            holding.advanceEndNanos = endNanos;
        }
        boolean begins = next > 0 && holding.share == 0;
        holding.setShare(next, earnedNanos, memoryNanos);
        holding.endNanos = endNanos;
        holding.members = request.getMembers();
        sum(now);
        if (begins) {
            long idleNanos = request.getIdleMillis() * Clock.NANOS_PER_MILLI;
            holding.sinceNanos = earnedNanos - idleNanos;
            buckets.values().forEach(bucket -> bucket.addIdle(next, idleNanos / NANOS_PER_SECOND));
        }
        refillBuckets();
    }

    /**
     * Returns the bucket of an account. A new one has the tokens that the shares held have earned so far.
     *
     * @param account name of the account
     * @param plan    plan of the account's limit
     * @param version version of the configuration that the plan is for
     * @return the bucket, refilled
     */
    AccountBucket bucket(AccountName account, AllowanceBounds.Plan plan, long version) {
        AccountBucket existing = buckets.get(account);
        if (existing == null) {
            AccountBucket created = new AccountBucket(plan, version, shareSeconds, new GrantHistory(memoryNanos));
            for (Holding holding : holdings.values()) {
                if (holding.share > 0) {
                    created.addIdle(holding.share, (earnedNanos - holding.sinceNanos) / NANOS_PER_SECOND);
                }
            }
            created.refill(shareSeconds, share());
            created.restore(agedShare(), earnedNanos);
            buckets.put(account, created);
            return created;
        }
        existing.refill(shareSeconds, share());
        if (version > existing.version()) {
            existing.setPlan(plan, version);
            existing.refill(shareSeconds, share());
        }
        existing.restore(agedShare(), earnedNanos);
        return existing;
    }

    /** Removes full buckets, which are created again when they are needed. */
    void removeFullBuckets() {
        refillBuckets();
        buckets.values().removeIf(bucket -> bucket.isFull(share()));
    }

    /**
     * Returns the highest number of nodes that a node which delegates its share knows.
     *
     * @return the number; 0 without delegations
     */
    long members() {
        return members;
    }

    private double agedShare() {
        double aged = 0;
        for (Holding holding : holdings.values()) {
            aged += holding.agedShare(earnedNanos, memoryNanos);
        }
        return Math.min(1, aged);
    }

    private Holding replace(AllowanceRequest request, long now) {
        refillBuckets();
        Holding created = new Holding(request.getBoot());
        holdings.put(request.getFrom(), created);
        sum(now);
        refillBuckets();
        return created;
    }

    private void dropSilentSenders(long now) {
        Iterator<Holding> all = holdings.values().iterator();
        while (all.hasNext()) {
            if (now - all.next().lastNanos > SENDER_MEMORY_NANOS) {
                all.remove();
            }
        }
    }

    private void refillBuckets() {
        buckets.values().forEach(bucket -> bucket.refill(shareSeconds, share()));
    }

    private void sum(long now) {
        share = 0;
        advanceShare = 0;
        members = 0;
        long next = Long.MAX_VALUE;
        for (Holding holding : holdings.values()) {
            share += holding.share;
            advanceShare += holding.advance;
            if (holding.share > 0) {
                members = Math.max(members, holding.members);
                next = Math.min(next, holding.endNanos - now);
            }
            if (holding.advance > 0) {
                next = Math.min(next, holding.advanceEndNanos - now);
            }
        }
        nextEndNanos = next == Long.MAX_VALUE ? now : now + next;
    }

    /** What a node has delegated. */
    private static final class Holding {

        private final long boot;

        /** Number of the node's last message. Earlier ones that arrive late are ignored. */
        private long sequence;

        private long lastNanos;
        private double share;

        /** Time since which the share earns tokens, in nanoseconds of the clock that does not count suspensions. */
        private long sinceNanos;

        /** Time since which the share is held without interruption or increase, in nanoseconds of the same clock. */
        private long heldSinceNanos;

        /** Part of the share that was held for the whole memory when the share last increased. */
        private double agedBefore;

        private long endNanos;
        private double advance;
        private long advanceEndNanos;
        private long members;

        Holding(long boot) {
            this.boot = boot;
        }

        void setShare(double next, long earned, long memoryNanos) {
            if (next > share) {
                agedBefore = agedShare(earned, memoryNanos);
                heldSinceNanos = earned;
            }
            share = next;
            agedBefore = Math.min(agedBefore, next);
        }

        double agedShare(long earned, long memoryNanos) {
            return earned - heldSinceNanos >= memoryNanos ? share : agedBefore;
        }

        void end(long now) {
            if (share > 0 && now - endNanos >= 0) {
                share = 0;
                agedBefore = 0;
            }
            if (advance > 0 && now - advanceEndNanos >= 0) {
                advance = 0;
            }
        }
    }
}
