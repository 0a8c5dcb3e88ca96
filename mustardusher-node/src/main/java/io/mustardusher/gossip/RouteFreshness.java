package io.mustardusher.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.freshness.ElapsedTime;
import io.mustardusher.freshness.FreshnessCluster;
import io.mustardusher.freshness.FreshnessLease;
import io.mustardusher.freshness.FreshnessLimits;
import io.mustardusher.freshness.FreshnessRenewal;
import io.mustardusher.freshness.FreshnessStatement;
import io.mustardusher.generated.FreshnessRecord;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.GossipRange;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.time.Clock;

/** Proves that this node's routes were the newest a short time ago, with the table service and the other nodes. */
public final class RouteFreshness {

    /** Interval between two ticks, in milliseconds; the intervals of reads and requests are multiples of it. */
    public static final long TICK_MILLIS = 200;

    /** Time for the answer of another node before the next one is asked, in milliseconds. */
    private static final long ASK_TIMEOUT_MILLIS = 300;

    private final RouteReplica routes;
    private final FreshnessLease lease;
    private final FreshnessRenewal renewal;
    private final long boundNanos;

    /**
     * Creates a proof that has yet to be obtained.
     *
     * @param members    the cluster membership
     * @param peers      sends requests to other nodes
     * @param routes     the routes of this node
     * @param store      reads the newest version of the routes from the table service, without waiting for changes
     * @param boundNanos time after its removal from the routes from which a key must be refused, in nanoseconds
     * @param clock      source of time
     * @param random     distributes requests
     */
    public RouteFreshness(
            MemberTable members,
            Peers peers,
            RouteReplica routes,
            Supplier<CompletableFuture<Long>> store,
            long boundNanos,
            Clock clock,
            RandomGenerator random) {
        this.routes = routes;
        this.boundNanos = boundNanos;
        FreshnessLimits limits = FreshnessLimits.of(boundNanos);
        ElapsedTime time = new ElapsedTime(clock);
        lease = new FreshnessLease(time, limits);
        renewal = new FreshnessRenewal(lease, time, limits, new Cluster(members, peers, routes, store, lease), random);
    }

    /** Sends the reads and requests that are due; called at each tick and when a version comes into force. */
    public void tick() {
        renewal.tick();
    }

    /**
     * Returns whether a key may be accepted by a version of the routes.
     *
     * @param version the version that has the key
     * @return {@code true} if the version was the newest one a short enough time ago
     */
    public boolean acceptsKeys(long version) {
        return lease.covers(version);
    }

    /**
     * Answers the request of another node.
     *
     * @param request statement of the other node, which is not needed
     * @return statement of this node
     */
    public CompletableFuture<FreshnessRecord> answer(FreshnessRecord request) {
        return CompletableFuture.completedFuture(toRecord(renewal.answer()));
    }

    /**
     * Returns the time since the routes of this node were last known to be the newest.
     *
     * @return the age, in milliseconds; -1 if they never were
     */
    public long ageMillis() {
        return toRecord(lease.state(routes.revision())).getAgeMillis();
    }

    /**
     * Returns the time after its removal from the routes from which a key must be refused.
     *
     * @return the bound, in milliseconds
     */
    public long boundMillis() {
        return boundNanos / Clock.NANOS_PER_MILLI;
    }

    private static FreshnessRecord toRecord(FreshnessStatement statement) {
        FreshnessRecord message = new FreshnessRecord().withVersion(statement.version());
        // Rounded up, because an age must never be too small.
        statement
                .ageNanos()
                .ifPresent(nanos -> message.setAgeMillis((nanos + Clock.NANOS_PER_MILLI - 1) / Clock.NANOS_PER_MILLI));
        return message;
    }

    private static FreshnessStatement toStatement(FreshnessRecord message) {
        long millis = message.getAgeMillis();
        return new FreshnessStatement(
                message.getVersion(),
                millis < 0 ? OptionalLong.empty() : OptionalLong.of(millis * Clock.NANOS_PER_MILLI));
    }

    /**
     * The table service and the other nodes.
     *
     * @param table  the cluster membership
     * @param peers  sends requests to other nodes
     * @param routes the routes of this node
     * @param store  reads the newest version from the table service
     * @param lease  the lease of this node
     */
    private record Cluster(
            MemberTable table,
            Peers peers,
            RouteReplica routes,
            Supplier<CompletableFuture<Long>> store,
            FreshnessLease lease)
            implements FreshnessCluster {

        @Override
        public boolean hasKeys() {
            return routes.current().accounts().isEnabled();
        }

        @Override
        public long version() {
            return routes.revision();
        }

        @Override
        public Members members() {
            String self = table.self().getId();
            List<String> near = new ArrayList<>();
            List<String> far = new ArrayList<>();
            List<MemberRecord> all = table.members();
            for (MemberRecord member : all) {
                if (MemberState.of(member).isActive() && !member.getId().equals(self)) {
                    (table.rangeTo(member) == GossipRange.DOMAIN ? near : far).add(member.getId());
                }
            }
            return new Members(self, near, far, all.size());
        }

        @Override
        public CompletableFuture<Long> readNewestVersion() {
            return store.get();
        }

        @Override
        public CompletableFuture<FreshnessStatement> ask(String member) {
            FreshnessRecord request = toRecord(lease.state(version()));
            return table.find(member)
                    .map(peer -> peers.<FreshnessRecord>request(
                                    CatalogueReplica.frameAddress(peer),
                                    FrameKind.FRESHNESS,
                                    request,
                                    ASK_TIMEOUT_MILLIS)
                            .thenApply(RouteFreshness::toStatement))
                    .orElseGet(() -> CompletableFuture.failedFuture(new IllegalStateException("no such member")));
        }

        @Override
        public CompletableFuture<Void> fetch(String member, long version) {
            return table.find(member)
                    .map(peer -> routes.fetch(peer, version))
                    .orElseGet(() -> CompletableFuture.completedFuture(null));
        }

        @Override
        public void onChange(boolean acceptable) {
            long version = version();
            if (acceptable) {
                NodeLog.LOG.freshnessProven(version);
            } else {
                NodeLog.LOG.freshnessExpired(
                        version, toRecord(lease.state(version)).getAgeMillis());
            }
        }
    }
}
