package io.mustardusher.frame;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;

/** Ends connections whose other side has fallen silent, where the transport lets the kernel watch for it. */
public final class SilentConnections {

    /** Time for which sent bytes may stay unacknowledged, in milliseconds: several retransmissions on a lossy link. */
    public static final int UNACKNOWLEDGED_MILLIS = 1_500;

    /** Time without traffic after which the other side is asked for a sign of life, in seconds. */
    private static final int IDLE_SECONDS = 5;

    /** Time between two such questions, in seconds. */
    private static final int INTERVAL_SECONDS = 1;

    /** Questions without an answer after which the connection ends. */
    private static final int QUESTIONS = 2;

    private SilentConnections() {}

    /**
     * Bounds the silence of the connections of a bootstrap.
     *
     * @param bootstrap opens the connections
     * @param type      type of their channels
     */
    public static void limit(Bootstrap bootstrap, Class<? extends Channel> type) {
        if (type != EpollSocketChannel.class) {
            return;
        }
        bootstrap
                .option(EpollChannelOption.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLIS)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(EpollChannelOption.TCP_KEEPIDLE, IDLE_SECONDS)
                .option(EpollChannelOption.TCP_KEEPINTVL, INTERVAL_SECONDS)
                .option(EpollChannelOption.TCP_KEEPCNT, QUESTIONS);
    }
}
