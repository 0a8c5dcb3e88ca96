package io.mustardusher.server;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpClientCodec;

/**
 * Distinguishes the end of a stream from a broken connection. A response that has neither a length nor chunks is
 * complete only after the former, but the codec of HTTP/1.1 takes any close of the channel for its end.
 */
final class EndOfStreamHandler extends ChannelInboundHandlerAdapter {

    /** How the connection ended; {@code null} while it is open. */
    private ConnectionEnd end;

    private EndOfStreamHandler() {}

    /**
     * Adds the handler in front of a connection's other handlers.
     *
     * @param pipeline handlers of the connection
     */
    static void addTo(ChannelPipeline pipeline) {
        pipeline.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        pipeline.addFirst(new EndOfStreamHandler());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof ChannelInputShutdownEvent)) {
            context.fireUserEventTriggered(event);
            return;
        }
        if (end == null) {
            end = ConnectionEnd.END_OF_STREAM;
        }
        context.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (end == null) {
            end = ConnectionEnd.READ_FAILED;
        }
        context.fireExceptionCaught(cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ChannelHandlerContext codec = context.pipeline().context(HttpClientCodec.class);
        boolean complete = end != null && end.completesUnframedResponse();
        // What follows the codec fails the response if its end has not been decoded.
        (codec == null || complete ? context : codec).fireChannelInactive();
    }
}
