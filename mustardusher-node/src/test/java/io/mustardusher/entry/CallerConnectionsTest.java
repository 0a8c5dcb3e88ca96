package io.mustardusher.entry;

import java.util.concurrent.CompletableFuture;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CallerConnectionsTest {

    private final CallerConnections connections = new CallerConnections();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final CompletableFuture<Void> left = new CompletableFuture<>();

    CallerConnectionsTest() {
        connections.accept(channel.pipeline());
        channel.pipeline().fireChannelActive();
    }

    @Test
    void callLearnsOfTheDisconnectAtOnce() {
        connections.watch(channel.remoteAddress(), left);
        assertThat(left.isDone()).isFalse();
        channel.close();
        assertThat(left.isDone()).isTrue();
    }

    @Test
    void callThatHasEndedIsNotTold() {
        connections.watch(channel.remoteAddress(), left).run();
        channel.close();
        assertThat(left.isDone()).isFalse();
    }

    @Test
    void unknownConnectionIsNotWatched() {
        channel.close();
        connections.watch(channel.remoteAddress(), left).run();
        assertThat(left.isDone()).isFalse();
    }
}
