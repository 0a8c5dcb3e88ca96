package io.mustardusher.entry;

import java.util.concurrent.CompletableFuture;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CallerConnectionsTest {

    private final CallerConnections connections = new CallerConnections();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final CompletableFuture<Void> disconnected = new CompletableFuture<>();

    CallerConnectionsTest() {
        connections.accept(channel.pipeline());
        channel.pipeline().fireChannelActive();
    }

    @Test
    void completesFutureWhenConnectionCloses() {
        connections.watch(channel.remoteAddress(), disconnected);
        assertThat(disconnected.isDone()).isFalse();
        channel.close();
        assertThat(disconnected.isDone()).isTrue();
    }

    @Test
    void doesNotCompleteFutureAfterWatchEnds() {
        connections.watch(channel.remoteAddress(), disconnected).run();
        channel.close();
        assertThat(disconnected.isDone()).isFalse();
    }

    @Test
    void ignoresConnectionThatIsAlreadyClosed() {
        channel.close();
        connections.watch(channel.remoteAddress(), disconnected).run();
        assertThat(disconnected.isDone()).isFalse();
    }
}
