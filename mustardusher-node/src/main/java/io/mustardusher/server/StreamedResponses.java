package io.mustardusher.server;

import java.nio.charset.StandardCharsets;

import com.linecorp.armeria.client.ClientFactoryBuilder;
import com.linecorp.armeria.client.ClientFactoryOptions;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.AsciiString;

/** Adds to the connections of a client factory what its codec of HTTP/1.1 leaves out when it reads responses. */
public final class StreamedResponses {

    private static final AsciiString HEAD_START = AsciiString.cached("HEAD ");

    private StreamedResponses() {}

    /**
     * Adds the handlers to the connections of a client factory.
     *
     * @param builder builder of the client factory
     * @param reports receives what is irregular in a response
     * @return the builder
     */
    public static ClientFactoryBuilder checkIn(ClientFactoryBuilder builder, ServerReports reports) {
        return builder.option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, pipeline -> {
            EndOfStreamHandler.addTo(pipeline);
            pipeline.addFirst(new Installer(reports));
        });
    }

    /**
     * Adds the check when the first request is sent, because the codec is added to the connection after the handlers of
     * the factory. Connections of HTTP/2 never have that codec.
     */
    private static final class Installer extends ChannelDuplexHandler {

        private final ServerReports reports;

        private Installer(ServerReports reports) {
            this.reports = reports;
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ChannelPipeline pipeline = context.pipeline();
            ChannelHandlerContext codec = pipeline.context(HttpClientCodec.class);
            if (codec != null) {
                ResponseSyntaxHandler syntax = new ResponseSyntaxHandler();
                // The codec has encoded the first request already.
                syntax.onRequest(isToHead(message));
                pipeline.addBefore(codec.name(), null, syntax);
                pipeline.addAfter(codec.name(), null, new CheckedConnection(syntax, reports));
                pipeline.remove(this);
            }
            context.write(message, promise);
        }

        private static boolean isToHead(Object message) {
            return message instanceof ByteBuf bytes
                    && bytes.readableBytes() >= HEAD_START.length()
                    && HEAD_START.contentEquals(
                            bytes.getCharSequence(bytes.readerIndex(), HEAD_START.length(), StandardCharsets.US_ASCII));
        }
    }

    /** Tells the check of the requests, and closes the connection when it finds a fault. */
    private static final class CheckedConnection extends ChannelDuplexHandler {

        private final ResponseSyntaxHandler syntax;
        private final ServerReports reports;

        private CheckedConnection(ResponseSyntaxHandler syntax, ServerReports reports) {
            this.syntax = syntax;
            this.reports = reports;
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpRequest request) {
                syntax.onRequest(request.method().equals(HttpMethod.HEAD));
            }
            context.write(message, promise);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof MalformedResponse malformed) {
                reports.onMalformedResponse(malformed.syntax());
                reports.onResponseFault(malformed.fault());
                context.close();
            } else {
                context.fireUserEventTriggered(event);
            }
        }
    }
}
