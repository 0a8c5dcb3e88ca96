package io.mustardusher.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;

import com.codahale.metrics.MetricRegistry;
import io.mustardusher.http.HttpListener;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;

/** The load pattern of the base class at the listener of a node that is configured by routes. */
class PipelinedCallsOnListenerTest extends PipelinedCallsTest {

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpListener listener = new HttpListener(group, Clock.ForSystem.INSTANCE, new MetricRegistry());

    @Override
    int open(Entry opened) {
        return listener.bind(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), opened, () -> RequestLimits.NONE);
    }

    @Override
    void close() {
        listener.close();
        group.shutdownGracefully();
    }
}
