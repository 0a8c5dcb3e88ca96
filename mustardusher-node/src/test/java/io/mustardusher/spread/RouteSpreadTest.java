package io.mustardusher.spread;

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

class RouteSpreadTest {

    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(1);
    private final List<Long> inForce = new ArrayList<>();
    private final RouteSpread spread = new RouteSpread(
            RouteSpreadTest::decode, new FakeNetwork().from(1), timers, table -> inForce.add(table.version()));

    @AfterEach
    void close() {
        timers.shutdownNow();
    }

    @Test
    void onlyHigherVersionsComeIntoForce() {
        offer(4);
        offer(9);
        offer(7);
        offer(9);
        assertThat(inForce).containsExactly(4L, 9L).inOrder();
    }

    @Test
    void unreadableVersionLeavesTheOneBeforeInForce() {
        offer(4);
        spread.offer(new RouteDocument().withVersion(5).withText("broken"), "test");
        assertThat(spread.revision()).isEqualTo(4);
    }

    @Test
    void peerGetsTheTextOnlyIfItIsNewer() {
        offer(4);
        assertThat(ask(3).getText()).isEqualTo("text");
        assertThat(ask(4).getText()).isNull();
    }

    private RouteDocument ask(long since) {
        return spread.answer(new CataloguePull().withSince(since)).join();
    }

    private void offer(long version) {
        spread.offer(new RouteDocument().withVersion(version).withText("text"), "test");
    }

    private static RouteTable decode(RouteDocument document) {
        if ("broken".equals(document.getText())) {
            throw new MustardusherException(ResultCode.ENTRY_INVALID, "broken");
        }
        return RouteTable.builder(document.getVersion()).build();
    }
}
