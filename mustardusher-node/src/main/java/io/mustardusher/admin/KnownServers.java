package io.mustardusher.admin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.entry.ServerDirectory;
import io.mustardusher.evacuation.EvacuationOrders;
import io.mustardusher.gate.ColdState;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.membership.NodeId;
import io.mustardusher.route.ColdStart;
import io.mustardusher.routing.ServerLoad;
import io.mustardusher.routing.ServerPool;
import io.mustardusher.time.Clock;

/** Lists the backend servers that a routed node knows, also those that it may not choose. */
public final class KnownServers implements Supplier<List<ServerView>> {

    private final MemberTable members;
    private final ServerDirectory directory;
    private final Supplier<EvacuationOrders> evacuation;
    private final Function<String, ColdStart> coldStarts;
    private final Supplier<ColdState> local;
    private final Clock clock;

    /**
     * Creates a list that reflects the present state whenever it is read.
     *
     * @param members    the cluster membership
     * @param directory  the servers that the node may choose
     * @param evacuation supplies the evacuation orders in force
     * @param coldStarts returns what is stated of cold servers of a service
     * @param local      supplies whether the server beside the node is cold
     * @param clock      source of time
     */
    public KnownServers(
            MemberTable members,
            ServerDirectory directory,
            Supplier<EvacuationOrders> evacuation,
            Function<String, ColdStart> coldStarts,
            Supplier<ColdState> local,
            Clock clock) {
        this.members = members;
        this.directory = directory;
        this.evacuation = evacuation;
        this.coldStarts = coldStarts;
        this.local = local;
        this.clock = clock;
    }

    @Override
    public List<ServerView> get() {
        EvacuationOrders orders = evacuation.get();
        Map<String, Map<NodeId, ServerLoad>> loads = new HashMap<>();
        List<ServerView> views = new ArrayList<>();
        for (MemberRecord member : members.members()) {
            if (member.getService() != null && MemberState.of(member).isActive()) {
                Map<NodeId, ServerLoad> ofService = loads.computeIfAbsent(member.getService(), this::loadsOf);
                views.add(view(member, orders, ofService.get(NodeId.of(member.getId()))));
            }
        }
        views.sort(Comparator.comparing(ServerView::service).thenComparing(ServerView::node));
        return views;
    }

    private Map<NodeId, ServerLoad> loadsOf(String service) {
        ServerPool pool = directory.pool(ServiceName.of(service));
        Map<NodeId, ServerLoad> loads = new HashMap<>();
        for (int i = 0; i < pool.size(); i++) {
            loads.put(pool.get(i).node(), pool.get(i));
        }
        return loads;
    }

    private ServerView view(MemberRecord member, EvacuationOrders orders, ServerLoad load) {
        boolean serving = member.isServing() && MemberState.of(member) != MemberState.LEAVING;
        boolean isLocal = member.getId().equals(members.self().getId());
        ColdState coldness = isLocal ? local.get() : null;
        return new ServerView(
                member.getService(),
                member.getId(),
                member.getDomain(),
                serving,
                orders.isEvacuated(member.getDomain()),
                load == null ? null : loadView(load),
                isLocal ? coldness.cold() : null,
                isLocal ? coldStarts.apply(member.getService()).callsPerSecond() : null,
                isLocal ? coldness.refused() : null);
    }

    private ServerView.LoadView loadView(ServerLoad load) {
        long now = clock.nanoTime();
        long age = load.reportAgeNanos(now);
        return new ServerView.LoadView(
                load.ejection().isEjected(now),
                load.ejection().failureRate(now),
                load.inFlight(),
                load.estimatedCalls(now),
                (long) (load.estimatedNanos(now) / Clock.NANOS_PER_MICRO),
                age == Long.MAX_VALUE ? -1 : age / Clock.NANOS_PER_MICRO);
    }
}
