package io.mustardusher.server;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Checks the bytes of responses in front of the codec. Passes on what is sound, fires a {@link MalformedResponse}, and
 * drops the rest.
 */
public final class ResponseSyntaxHandler extends ChannelInboundHandlerAdapter {

    private final ResponseSyntax syntax = new ResponseSyntax();

    /**
     * Notes that a request is sent.
     *
     * @param toHead whether its method is HEAD
     */
    public void onRequest(boolean toHead) {
        syntax.onRequest(toHead);
    }

    /**
     * Returns whether malformed bytes have arrived, also if sound ones before them are still being decoded.
     *
     * @return {@code true} if no further response can be read from the connection
     */
    boolean hasFault() {
        return syntax.fault() != null;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        boolean sound = syntax.fault() == null;
        bytes.writerIndex(bytes.readerIndex() + syntax.check(bytes));
        context.fireChannelRead(bytes);
        if (sound && syntax.fault() != null) {
            context.fireUserEventTriggered(syntax.fault());
        }
    }
}
