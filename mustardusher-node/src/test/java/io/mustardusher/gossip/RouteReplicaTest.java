package io.mustardusher.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import io.mustardusher.generated.CataloguePull;
import io.mustardusher.generated.RouteDocument;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RouteTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RouteReplicaTest {

    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final List<Long> inForce = new ArrayList<>();
    private final RouteReplica routes = new RouteReplica(
            RouteReplicaTest::decode, new FakeNetwork().peersOf(1), timers, table -> inForce.add(table.version()));

    @AfterEach
    void close() {
        timers.shutdownNow();
    }

    @Test
    void appliesOnlyHigherVersions() {
        offer(4);
        offer(9);
        offer(7);
        offer(9);
        assertThat(inForce).containsExactly(4L, 9L).inOrder();
    }

    @Test
    void keepsPreviousVersionWhenNewOneCannotBeDecoded() {
        offer(4);
        routes.offer(new RouteDocument().withVersion(5).withText("broken"), "test");
        assertThat(routes.revision()).isEqualTo(4);
    }

    @Test
    void answersWithTextOnlyIfVersionIsNewer() {
        offer(4);
        assertThat(request(3).getText()).isEqualTo("text");
        assertThat(request(4).getText()).isNull();
    }

    private RouteDocument request(long since) {
        return routes.answer(new CataloguePull().withSince(since)).join();
    }

    private void offer(long version) {
        routes.offer(new RouteDocument().withVersion(version).withText("text"), "test");
    }

    private static RouteTable decode(RouteDocument document) {
        if ("broken".equals(document.getText())) {
            throw new MustardusherException(ResultCode.ENTRY_INVALID, "broken");
        }
        return RouteTable.builder(document.getVersion()).build();
    }
}
