package io.mustardusher.entry;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallOptions;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.catalogue.CatalogueEntry;
import io.mustardusher.catalogue.Idempotence;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.evacuation.EvacuationOrders;
import io.mustardusher.frame.Credential;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.membership.NodeId;
import io.mustardusher.routing.RoutingPolicy;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.ImmediateEventExecutor;

/** Creates routers whose calls go to the simulated gates of other nodes. */
final class RouterFixture {

    /** Service of all servers. */
    static final ServiceName SERVICE = ServiceName.of("s");

    private static final long SECOND_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    private static final long BUDGET_WINDOW_NANOS = SECOND_NANOS;

    private RouterFixture() {}

    /**
     * Creates a router without a budget for retries.
     *
     * @param clock   source of time
     * @param timers  executor of timers
     * @param packing encoding of headers
     * @param gates   receives the frames to other nodes
     * @param serving whether the server of each other node accepts calls
     * @return the router
     */
    static Router create(
            Clock clock, ScheduledExecutorService timers, HeaderPacking packing, Peers gates, List<Boolean> serving) {
        MemberTable members = new MemberTable(member(0, false), clock, new Random(1));
        for (int i = 0; i < serving.size(); i++) {
            members.merge(List.of(member(i + 1, serving.get(i))));
        }
        ServerDirectory directory = new ServerDirectory(
                members,
                null,
                new DistanceSettings(),
                () -> {
                    throw new AssertionError("no call is streamed");
                },
                new Credential("secret"),
                clock);
        directory.useFrames(new ServerDirectory.FrameTransport(
                gates, packing, new AtomicLong(), ImmediateEventExecutor.INSTANCE, BodyMemory.ofNode()));
        directory.refresh();
        return new Router(
                directory,
                new SuspectTable(clock),
                report -> {},
                new RetryPolicyFactory.ForWindow(clock, BUDGET_WINDOW_NANOS, () -> 0),
                timers,
                clock,
                new MetricRegistry());
    }

    /**
     * Creates an idempotent call with a deadline after one second.
     *
     * @param clock source of time
     * @return the call
     */
    static Call call(Clock clock) {
        return call(clock, 0, 2, SECOND_NANOS / 2);
    }

    /**
     * Creates an idempotent call with a deadline after one second.
     *
     * @param clock              source of time
     * @param hedgePercent       share of hedges that the service permits, in percent
     * @param maxReachedAttempts maximum number of servers that the call may reach
     * @param targetLatencyNanos time within which an answer is desired, in nanoseconds
     * @return the call
     */
    static Call call(Clock clock, int hedgePercent, int maxReachedAttempts, long targetLatencyNanos) {
        CatalogueEntry entry = new CatalogueEntry(
                SERVICE,
                "route",
                ServiceClass.STANDARD,
                RoutingPolicy.LEAST_COST,
                Idempotence.ALWAYS,
                1_000,
                0,
                0,
                0,
                0,
                hedgePercent,
                0,
                false);
        RequestHeaders headers = RequestHeaders.of(HttpMethod.GET, "/");
        return new Call(
                entry,
                headers,
                "route",
                ServiceClass.STANDARD,
                clock.nanoTime() + SECOND_NANOS,
                Optional.empty(),
                0,
                false,
                new CallOptions("call", maxReachedAttempts, targetLatencyNanos, Optional.empty(), 0));
    }

    /**
     * Evacuates the failure domain of all servers.
     *
     * @param router        the router
     * @param orders        the orders in force
     * @param evacuatedGate receives the nodes whose gates follow an order that is not in force
     */
    static void followOrders(Router router, Supplier<EvacuationOrders> orders, Consumer<NodeId> evacuatedGate) {
        router.directory().followOrders(orders, evacuatedGate);
        router.directory().refresh();
    }

    private static MemberRecord member(int number, boolean serving) {
        return new MemberRecord()
                .withId("node-" + number)
                .withBoot(1L)
                .withIncarnation(1)
                .withState(MemberState.ALIVE.toRecordState())
                .withHost("127.0.0.1")
                .withFramePort(number + 1)
                .withGatePort(number + 1)
                .withRegion("r")
                .withDomain(number % 2 == 0 ? "d" : "e")
                .withService(SERVICE.value())
                .withSlots(4)
                .withServing(serving);
    }
}
