package io.mustardusher.freshness;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Renews the lease of a member. A few members, the readers, read the table service regularly; the others ask a reader
 * for its age, and read the table service themselves only if their own age becomes too high. Does nothing while the
 * configuration has no keys.
 */
public final class FreshnessRenewal {

    private final FreshnessLease lease;
    private final ElapsedTime time;
    private final FreshnessLimits limits;
    private final FreshnessCluster cluster;
    private final RandomGenerator random;

    /** Earliest time of the next read of the table service, in nanoseconds; meaningless before the first. */
    private long nextReadNanos;

    /** Time of the next request to another member, in nanoseconds; meaningless before the first. */
    private long nextAskNanos;

    private boolean started;

    private boolean lastReadFailed;

    private long backoffNanos;

    /** Age from which this member reads the table service itself, in nanoseconds. */
    private long ownReadAgeNanos;

    /** Number of the current series of requests; answers that arrive in a later one start no further requests. */
    private int series;

    private boolean acceptable;

    /**
     * Creates a renewal that is started by its first tick.
     *
     * @param lease   the lease
     * @param time    time by which the lease is dated
     * @param limits  intervals
     * @param cluster the table service and the other members
     * @param random  distributes reads over time
     */
    public FreshnessRenewal(
            FreshnessLease lease,
            ElapsedTime time,
            FreshnessLimits limits,
            FreshnessCluster cluster,
            RandomGenerator random) {
        this.lease = lease;
        this.time = time;
        this.limits = limits;
        this.cluster = cluster;
        this.random = random;
        this.backoffNanos = limits.minBackoffNanos();
        drawOwnReadAge();
    }

    /** Samples the time, and sends the reads and requests that are due. Called a few times per second. */
    public synchronized void tick() {
        long now = time.nanos();
        if (!cluster.hasKeys()) {
            return;
        }
        reportChange();
        if (!started) {
            started = true;
            nextReadNanos = now;
            nextAskNanos = now;
        }
        boolean mayRead = now - nextReadNanos >= 0;
        boolean mayAsk = now - nextAskNanos >= 0;
        if (!mayRead && !mayAsk) {
            return;
        }
        FreshnessCluster.Members members = cluster.members();
        List<String> readers = readers(members);
        boolean isReader = readers.contains(members.self());
        if (mayRead && (isReader || isOlderThan(ownReadAgeNanos))) {
            read(now);
        }
        if (mayAsk && (!isReader || lastReadFailed)) {
            nextAskNanos = now + limits.askIntervalNanos();
            series++;
            askNext(candidates(members, readers).iterator(), series);
        }
    }

    /**
     * Answers the request of another member.
     *
     * @return the version in force here and its age
     */
    public FreshnessStatement answer() {
        return lease.state(cluster.version());
    }

    private static List<String> readers(FreshnessCluster.Members members) {
        List<String> live = new ArrayList<>(members.near());
        live.addAll(members.far());
        live.add(members.self());
        return FreshnessReaders.choose(live, members.known());
    }

    // Readers of the same failure domain first, then the others, then any member: one that the table service serves
    // although it rejects this member and all readers.
    private Set<String> candidates(FreshnessCluster.Members members, List<String> readers) {
        Comparator<String> own = FreshnessReaders.byWeight(members.self());
        Set<String> candidates = new LinkedHashSet<>();
        members.near().stream().filter(readers::contains).sorted(own).forEach(candidates::add);
        members.far().stream().filter(readers::contains).sorted(own).forEach(candidates::add);
        List<String> others = members.near().isEmpty() ? members.far() : members.near();
        if (!others.isEmpty()) {
            candidates.add(others.get(random.nextInt(others.size())));
        }
        return candidates;
    }

    private void read(long sentNanos) {
        nextReadNanos = sentNanos + limits.readIntervalNanos();
        cluster.readNewestVersion().whenComplete((newest, failure) -> {
            synchronized (this) {
                lastReadFailed = failure != null || !renew(sentNanos, newest);
                if (!lastReadFailed) {
                    backoffNanos = limits.minBackoffNanos();
                    return;
                }
                nextReadNanos = time.nanos() + backoffNanos / 2 + random.nextLong(backoffNanos);
                backoffNanos = Math.min(limits.maxBackoffNanos(), backoffNanos * 2);
            }
        });
    }

    private void askNext(Iterator<String> candidates, int own) {
        if (!candidates.hasNext() || own != series) {
            return;
        }
        String member = candidates.next();
        long sentNanos = time.nanos();
        cluster.ask(member).whenComplete((statement, failure) -> {
            if (failure == null && statement.version() > cluster.version()) {
                cluster.fetch(member, statement.version())
                        .thenRun(() -> handleStatement(statement, sentNanos, candidates, own));
            } else {
                handleStatement(failure == null ? statement : null, sentNanos, candidates, own);
            }
        });
    }

    // The statement is null if there was no answer.
    private synchronized void handleStatement(
            FreshnessStatement statement, long sentNanos, Iterator<String> candidates, int own) {
        if (statement != null && statement.ageNanos().isPresent()) {
            // The statement was made after the request was sent, so the age is counted from then.
            renew(sentNanos - Math.max(0, statement.ageNanos().getAsLong()), statement.version());
        }
        if (isOlderThan(limits.ownReadAgeNanos())) {
            askNext(candidates, own);
        }
    }

    private boolean renew(long momentNanos, long newest) {
        boolean complete = lease.renew(momentNanos, newest, cluster.version());
        if (complete) {
            drawOwnReadAge();
        }
        reportChange();
        return complete;
    }

    private boolean isOlderThan(long limitNanos) {
        OptionalLong age = lease.ageNanos();
        return age.isEmpty() || age.getAsLong() > limitNanos;
    }

    private void drawOwnReadAge() {
        ownReadAgeNanos = limits.ownReadAgeNanos() + random.nextLong(limits.ownReadJitterNanos() + 1);
    }

    private void reportChange() {
        boolean now = lease.covers(cluster.version());
        if (now != acceptable) {
            acceptable = now;
            cluster.onChange(now);
        }
    }
}
