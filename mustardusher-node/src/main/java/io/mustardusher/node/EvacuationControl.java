package io.mustardusher.node;

import java.util.HashSet;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.mustardusher.budget.TokenBucket;
import io.mustardusher.entry.ServerDirectory;
import io.mustardusher.evacuation.EvacuationOrders;
import io.mustardusher.evacuation.EvacuationReplica;
import io.mustardusher.gate.Gate;
import io.mustardusher.gossip.Gossiper;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.membership.NodeId;
import io.mustardusher.time.Clock;

/** Applies the evacuation orders in force to the gate and the server directory of a node, and passes them on. */
final class EvacuationControl {

    /** Number of members to which changed orders are sent immediately. */
    private static final int CHANGE_FANOUT = 8;

    /** Maximum number of exchanges per second with nodes whose gates follow other orders. */
    private static final double EXCHANGES_PER_SECOND = 10;

    /** Time after a change until domains without a known member are logged; a starting node has few members. */
    private static final long UNKNOWN_DOMAIN_DELAY_MILLIS = 5_000;

    private final EvacuationReplica orders;
    private final String ownDomain;
    private final Gate gate;
    private final ServerDirectory directory;
    private final MemberTable members;
    private final Gossiper gossiper;
    private final ScheduledExecutorService timers;
    private final MetricRegistry metrics;
    private final TokenBucket exchanges;

    /** Domains that are evacuated at this node. */
    private SortedSet<String> applied = new TreeSet<>();

    /** Domains that were logged as unknown. */
    private final Set<String> unknown = new HashSet<>();

    /**
     * Creates the control and makes it follow the orders that the gossiper receives.
     *
     * @param ownDomain name of the failure domain of the node
     * @param gate      gate of the node
     * @param directory servers that the node selects from
     * @param members   the member table
     * @param gossiper  exchanges orders with other nodes
     * @param timers    schedules the check for unknown domains
     * @param clock     source of time
     * @param metrics   registry of metrics
     */
    EvacuationControl(
            String ownDomain,
            Gate gate,
            ServerDirectory directory,
            MemberTable members,
            Gossiper gossiper,
            ScheduledExecutorService timers,
            Clock clock,
            MetricRegistry metrics) {
        this.orders = gossiper.evacuation();
        this.ownDomain = ownDomain;
        this.gate = gate;
        this.directory = directory;
        this.members = members;
        this.gossiper = gossiper;
        this.timers = timers;
        this.metrics = metrics;
        this.exchanges = new TokenBucket(clock, EXCHANGES_PER_SECOND, 1);
        directory.followOrders(orders::current, this::exchangeOrders);
        orders.onChange(this::apply);
        metrics.gauge(
                "evacuation.domains", () -> () -> orders.current().domains().size());
    }

    // Entries leave the domain before its gate rejects, so that calls rejected from the queue find another server.
    private synchronized void apply() {
        EvacuationOrders current = orders.current();
        directory.refresh();
        gate.setEvacuated(current.isEvacuated(ownDomain));
        report(current.domains());
        gossiper.sendToRandomMembers(CHANGE_FANOUT);
        timers.schedule(this::reportUnknown, UNKNOWN_DOMAIN_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void report(SortedSet<String> domains) {
        for (String domain : domains) {
            if (!applied.contains(domain)) {
                NodeLog.LOG.domainEvacuated(domain, serversIn(domain));
                metrics.counter("evacuation.evacuated").inc();
            }
        }
        for (String domain : applied) {
            if (!domains.contains(domain)) {
                NodeLog.LOG.domainReturned(domain, serversIn(domain));
                metrics.counter("evacuation.returned").inc();
            }
        }
        applied = domains;
        unknown.retainAll(domains);
    }

    private synchronized void reportUnknown() {
        for (String domain : applied) {
            boolean known = members.members().stream().anyMatch(member -> domain.equals(member.getDomain()));
            if (!known && unknown.add(domain)) {
                NodeLog.LOG.unknownDomainEvacuated(domain);
                metrics.counter("evacuation.unknownDomains").inc();
            }
        }
    }

    /**
     * Exchanges orders with a node whose gate refused a call of this one. Whichever of the two has the older orders
     * learns the newer ones.
     *
     * @param node the node
     */
    private void exchangeOrders(NodeId node) {
        if (exchanges.tryTake()) {
            members.find(node.value())
                    .flatMap(member -> members.frameAddress(member.getId(), member.getBoot()))
                    .ifPresent(gossiper::announceTo);
        }
    }

    private long serversIn(String domain) {
        return members.members().stream()
                .filter(member -> domain.equals(member.getDomain()) && member.getService() != null)
                .filter(member -> MemberState.of(member).isActive())
                .count();
    }
}
