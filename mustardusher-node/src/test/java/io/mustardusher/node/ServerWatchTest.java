package io.mustardusher.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.mustardusher.generated.Announcement;
import io.mustardusher.generated.Announcement.State;
import io.mustardusher.instance.InstanceState;
import io.mustardusher.instance.InstanceState.Phase;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Pattern of trouble: a node starts anew beside a server that goes on serving, or that is on its way out. */
class ServerWatchTest {

    private final List<String> changes = new ArrayList<>();
    private final ServerWatch watch = new ServerWatch(
            new Clock.Manual(),
            announced -> changes.add(
                    announced.getInstance() + " " + announced.getState().value()));

    @Test
    void serverThatAnswersServesBeforeItAnnouncesItself() {
        watch.found(server("i-1"));

        assertThat(changes).containsExactly("i-1 serving");
        assertThat(watch.isKnown()).isTrue();
    }

    @Test
    void announcementOutdoesAnAnswer() {
        watch.found(server("i-1"));
        watch.announced(new InstanceState("i-1", 0, 40, Phase.DRAINING), server("i-1"));

        assertThat(changes)
                .containsExactly("i-1 " + State.SERVING.value(), "i-1 " + State.DRAINING.value())
                .inOrder();
    }

    @Test
    void answerAfterAnAnnouncementIsNoNews() {
        watch.announced(new InstanceState("i-1", 0, 40, Phase.DRAINING), server("i-1"));
        watch.found(server("i-1"));

        assertThat(changes).containsExactly("i-1 draining");
    }

    @Test
    void answerAfterAFarewellIsNoNews() {
        watch.left("i-1", Optional.empty());
        watch.found(server("i-1"));

        assertThat(changes).isEmpty();
    }

    @Test
    void farewellOfAServerThatAnsweredEndsItsService() {
        watch.found(server("i-1"));
        watch.left("i-1", Optional.empty());

        assertThat(changes).containsExactly("i-1 serving", "i-1 draining").inOrder();
    }

    private static Announcement server(String instance) {
        return new Announcement()
                .withService("s")
                .withHost("127.0.0.1")
                .withPort(8_080L)
                .withSlots(4L)
                .withConnections(ServerWatch.UNSTATED_CONNECTIONS)
                .withInstance(instance);
    }
}
