package io.mustardusher.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import io.mustardusher.membership.NodeId;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class RoutingPolicyTest {

    private static final int CALLS = 10_000;
    private static final long NOW = 100_000 * Clock.NANOS_PER_MILLI;

    private final Random random = new Random(7);
    private final List<ServerLoad> servers = new ArrayList<>();

    @ParameterizedTest
    @EnumSource(RoutingPolicy.class)
    void everyServerIsUsed(RoutingPolicy policy) {
        assertThat(counts(policy, pool(5))).asList().doesNotContain(0);
    }

    @ParameterizedTest
    @EnumSource(RoutingPolicy.class)
    void drainingServerIsNotChosen(RoutingPolicy policy) {
        ServerPool pool = pool(3);
        servers.get(1).setServing(false);
        assertThat(counts(policy, pool)[1]).isEqualTo(0);
    }

    @ParameterizedTest
    @EnumSource(RoutingPolicy.class)
    void excludedServerIsNotChosen(RoutingPolicy policy) {
        ServerPool pool = pool(2);
        ExcludedServers excluded = new ExcludedServers();
        excluded.add(servers.get(0));
        assertThat(policy.choose(pool, excluded, random, NOW)).isSameInstanceAs(servers.get(1));
        excluded.add(servers.get(1));
        assertThat(policy.choose(pool, excluded, random, NOW)).isNull();
    }

    /**
     * Load pattern: a service has servers in several failure domains, more than are compared for one call. Calls that
     * leave the domain although servers of the own one are idle cost traffic for nothing.
     */
    @ParameterizedTest
    @ValueSource(ints = {14, 38, 130})
    void callsStayInFailureDomainWhileItsServersAreIdle(int size) {
        List<ServerLoad> near = new ArrayList<>();
        ServerPool pool = poolInFiveDomains(size, near);
        for (int i = 0; i < CALLS; i++) {
            assertThat(near).contains(RoutingPolicy.LEAST_COST.choose(pool, new ExcludedServers(), random, NOW, 0.2));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {14, 38, 130})
    void callsLeaveFailureDomainWhenItsServersAreFull(int size) {
        List<ServerLoad> near = new ArrayList<>();
        ServerPool pool = poolInFiveDomains(size, near);
        near.forEach(server -> server.update(new LoadReport(10, 20, 10, 8_000, false), NOW));
        for (int i = 0; i < CALLS; i++) {
            assertThat(near)
                    .doesNotContain(RoutingPolicy.LEAST_COST.choose(pool, new ExcludedServers(), random, NOW, 0.2));
        }
    }

    private ServerPool poolInFiveDomains(int size, List<ServerLoad> near) {
        for (int i = 0; i < size; i++) {
            boolean isNear = i % 5 == 3;
            ServerLoad server = new ServerLoad(NodeId.of("node-" + i), 10, isNear ? 100 : 500, 0);
            server.update(new LoadReport(0, 0, 10, 8_000, false), NOW);
            servers.add(server);
            if (isNear) {
                near.add(server);
            }
        }
        Collections.shuffle(servers, random);
        return ServerPool.of(servers);
    }

    @Test
    void slowServerIsAvoided() {
        ServerPool pool = pool(5);
        servers.forEach(server -> server.update(new LoadReport(0, 0, 10, 8_000, false), NOW));
        servers.get(2).update(new LoadReport(0, 0, 10, 80_000, false), NOW);
        assertThat(counts(RoutingPolicy.MUSTARDUSHER, pool)[2]).isEqualTo(0);
    }

    @Test
    void busyServerIsAvoided() {
        ServerPool pool = pool(5);
        servers.forEach(server -> server.update(new LoadReport(1, 0, 10, 8_000, false), NOW));
        servers.get(2).update(new LoadReport(10, 20, 10, 8_000, false), NOW);
        assertThat(counts(RoutingPolicy.MUSTARDUSHER, pool)[2]).isEqualTo(0);
    }

    @Test
    void failingServerIsNotChosenEvenIfItAppearsIdle() {
        ServerPool pool = pool(5);
        servers.forEach(server -> server.update(new LoadReport(5, 0, 10, 8_000, false), NOW));
        ServerLoad failing = servers.get(2);
        failing.update(new LoadReport(0, 0, 10, 100, false), NOW);
        for (int i = 0; i < 6; i++) {
            failing.ejection().recordCall(false, NOW);
        }
        assertThat(failing.ejection().isEjected(NOW)).isTrue();
        assertThat(counts(RoutingPolicy.MUSTARDUSHER, pool)[2]).isEqualTo(0);
    }

    @Test
    void ejectedServerReceivesOneTrialCallAndReturnsToServiceIfItSucceeds() {
        ServerPool pool = pool(3);
        ServerLoad failing = servers.get(0);
        for (int i = 0; i < 6; i++) {
            failing.ejection().recordCall(false, NOW);
        }
        long later = NOW + 2_000 * Clock.NANOS_PER_MILLI;
        ServerLoad trial = RoutingPolicy.MUSTARDUSHER.choose(pool, new ExcludedServers(), random, later);
        assertThat(trial).isSameInstanceAs(failing);
        failing.ejection().startTrial();
        failing.recordCallStart();
        assertThat(RoutingPolicy.MUSTARDUSHER.choose(pool, new ExcludedServers(), random, later))
                .isNotSameInstanceAs(failing);
        failing.ejection().recordCall(true, later);
        assertThat(failing.ejection().requiresTrial(later)).isFalse();
    }

    @Test
    void serverIsChosenEvenIfAllAreEjected() {
        ServerPool pool = pool(4);
        for (ServerLoad server : servers) {
            for (int i = 0; i < 6; i++) {
                server.ejection().recordCall(false, NOW);
            }
        }
        assertThat(RoutingPolicy.MUSTARDUSHER.choose(pool, new ExcludedServers(), random, NOW))
                .isNotNull();
    }

    @Test
    void startingServerReceivesFewerCalls() {
        ServerPool pool = pool(4);
        ServerLoad starting = new ServerLoad(NodeId.of("cold"), 10, 0, NOW);
        servers.add(starting);
        ServerPool withStarting = ServerPool.of(servers);
        servers.forEach(server -> server.update(new LoadReport(4, 0, 10, 8_000, false), NOW));
        assertThat(counts(RoutingPolicy.MUSTARDUSHER, withStarting)[4]).isLessThan(CALLS / 10);
        assertThat(pool.size()).isEqualTo(4);
    }

    @Test
    void manyEntriesWithTheSameReportDoNotAllChooseTheSameServer() {
        int most = 0;
        int[] chosen = new int[20];
        for (int entry = 0; entry < 200; entry++) {
            servers.clear();
            ServerPool pool = pool(20);
            servers.forEach(server -> server.update(new LoadReport(5, 0, 10, 8_000, false), NOW));
            servers.get(3).update(new LoadReport(0, 0, 10, 8_000, false), NOW);
            ServerLoad choice = RoutingPolicy.MUSTARDUSHER.choose(pool, new ExcludedServers(), new Random(entry), NOW);
            most = Math.max(most, ++chosen[servers.indexOf(choice)]);
        }
        assertThat(most).isLessThan(60);
    }

    private ServerPool pool(int size) {
        for (int i = 0; i < size; i++) {
            servers.add(new ServerLoad(NodeId.of("s" + i), 10, 0, 0));
        }
        return ServerPool.of(servers);
    }

    private int[] counts(RoutingPolicy policy, ServerPool pool) {
        int[] counts = new int[pool.size()];
        for (int i = 0; i < CALLS; i++) {
            counts[servers.indexOf(policy.choose(pool, new ExcludedServers(), random, NOW))]++;
        }
        return counts;
    }
}
