package io.mustardusher.frame;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;

/** Closes connections whose peer no longer responds. Needs the epoll transport, as the kernel detects such peers. */
public final class DeadPeerDetection {

    /**
     * Time after which a connection with unacknowledged bytes is closed, in milliseconds. It allows for several
     * retransmissions on a lossy link.
     */
    public static final int USER_TIMEOUT_MILLIS = 1_500;

    /** Time without traffic after which keepalive probes are sent, in seconds. */
    private static final int KEEPALIVE_IDLE_SECONDS = 5;

    /**
     * The same for connections to a service whose responses may take half a minute, in seconds, so that a lost
     * connection is noticed without a request.
     */
    private static final int SERVICE_KEEPALIVE_IDLE_SECONDS = 1;

    /**
     * Time after which the connection of a caller with unacknowledged bytes is closed, in milliseconds. A caller that
     * does not read for a while is kept.
     */
    private static final int CALLER_USER_TIMEOUT_MILLIS = 30_000;

    /** Time without traffic after which keepalive probes are sent to a caller, in seconds. */
    private static final int CALLER_KEEPALIVE_IDLE_SECONDS = 30;

    /** Time between two keepalive probes, in seconds. */
    private static final int KEEPALIVE_INTERVAL_SECONDS = 1;

    /** Number of unacknowledged keepalive probes after which the connection is closed. */
    private static final int MAX_UNANSWERED_PROBES = 2;

    private DeadPeerDetection() {}

    /**
     * Sets the TCP user timeout and the keepalive options for the connections of a bootstrap. Does nothing if the
     * channels do not use epoll.
     *
     * @param bootstrap bootstrap of the connections
     * @param type      type of the channels
     */
    public static void configure(Bootstrap bootstrap, Class<? extends Channel> type) {
        configure(bootstrap, type, KEEPALIVE_IDLE_SECONDS);
    }

    /**
     * Sets the TCP user timeout and short keepalive options for the connections to a service. Does nothing if the
     * channels do not use epoll.
     *
     * @param bootstrap bootstrap of the connections
     * @param type      type of the channels
     */
    public static void configureForService(Bootstrap bootstrap, Class<? extends Channel> type) {
        configure(bootstrap, type, SERVICE_KEEPALIVE_IDLE_SECONDS);
    }

    private static void configure(Bootstrap bootstrap, Class<? extends Channel> type, int idleSeconds) {
        if (type != EpollSocketChannel.class) {
            return;
        }
        bootstrap
                .option(EpollChannelOption.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLIS)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(EpollChannelOption.TCP_KEEPIDLE, idleSeconds)
                .option(EpollChannelOption.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
                .option(EpollChannelOption.TCP_KEEPCNT, MAX_UNANSWERED_PROBES);
    }

    /**
     * Sets the same options for the accepted connections of a bootstrap. Does nothing if its channels do not use epoll.
     *
     * @param bootstrap bootstrap of a listening channel
     * @param type      type of the listening channel
     */
    public static void configureAccepted(ServerBootstrap bootstrap, Class<? extends ServerChannel> type) {
        configureAccepted(bootstrap, type, USER_TIMEOUT_MILLIS, KEEPALIVE_IDLE_SECONDS);
    }

    /**
     * Sets longer times for the connections of callers. Does nothing if the channels do not use epoll.
     *
     * @param bootstrap bootstrap of a listening channel
     * @param type      type of the listening channel
     */
    public static void configureCallers(ServerBootstrap bootstrap, Class<? extends ServerChannel> type) {
        configureAccepted(bootstrap, type, CALLER_USER_TIMEOUT_MILLIS, CALLER_KEEPALIVE_IDLE_SECONDS);
    }

    private static void configureAccepted(
            ServerBootstrap bootstrap, Class<? extends ServerChannel> type, int userTimeoutMillis, int idleSeconds) {
        if (type != EpollServerSocketChannel.class) {
            return;
        }
        bootstrap
                .childOption(EpollChannelOption.TCP_USER_TIMEOUT, userTimeoutMillis)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(EpollChannelOption.TCP_KEEPIDLE, idleSeconds)
                .childOption(EpollChannelOption.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
                .childOption(EpollChannelOption.TCP_KEEPCNT, MAX_UNANSWERED_PROBES);
    }
}
