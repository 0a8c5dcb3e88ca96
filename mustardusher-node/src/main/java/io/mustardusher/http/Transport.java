package io.mustardusher.http;

import java.util.Locale;
import java.util.concurrent.ThreadFactory;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/** Kinds of event loops, with the types of their channels. */
public enum Transport {
    /** Epoll, which also detects dead peers. */
    EPOLL(EpollServerSocketChannel.class, EpollSocketChannel.class) {
        @Override
        EventLoopGroup newGroup(int threads, ThreadFactory factory) {
            return new EpollEventLoopGroup(threads, factory);
        }
    },

    /** Selectors of the runtime, where epoll is not available. */
    NIO(NioServerSocketChannel.class, NioSocketChannel.class) {
        @Override
        EventLoopGroup newGroup(int threads, ThreadFactory factory) {
            return new NioEventLoopGroup(threads, factory);
        }
    };

    private final Class<? extends ServerChannel> serverChannelType;
    private final Class<? extends Channel> socketChannelType;

    Transport(Class<? extends ServerChannel> serverChannelType, Class<? extends Channel> socketChannelType) {
        this.serverChannelType = serverChannelType;
        this.socketChannelType = socketChannelType;
    }

    /**
     * Returns the transport of event loops.
     *
     * @param group the event loops
     * @return their transport
     */
    public static Transport of(EventLoopGroup group) {
        return group instanceof EpollEventLoopGroup ? EPOLL : NIO;
    }

    /**
     * Creates event loops of the best transport that is available.
     *
     * @param threads number of event loops
     * @param name    start of the names of their threads, which do not keep the process running
     * @return the event loops
     */
    public static EventLoopGroup newEventLoops(int threads, String name) {
        Transport best = Epoll.isAvailable() ? EPOLL : NIO;
        return best.newGroup(
                threads, new DefaultThreadFactory(name + "-" + best.name().toLowerCase(Locale.ROOT), true));
    }

    abstract EventLoopGroup newGroup(int threads, ThreadFactory factory);

    /**
     * Returns the type of listening channels.
     *
     * @return the type
     */
    public Class<? extends ServerChannel> serverChannelType() {
        return serverChannelType;
    }

    /**
     * Returns the type of the channels of connections.
     *
     * @return the type
     */
    public Class<? extends Channel> socketChannelType() {
        return socketChannelType;
    }
}
