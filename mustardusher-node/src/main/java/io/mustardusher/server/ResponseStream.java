package io.mustardusher.server;

import java.util.Arrays;
import java.util.function.Function;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.BodyBuffer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;

/**
 * A long response that is passed on as it is taken. Its last bytes are held back, so that another response which begins
 * among them is found before they are passed on. Confined to the event loop of the connection.
 */
final class ResponseStream {

    /** Bytes that are held back: the longest head of a response. */
    private static final int HELD_BYTES = 32 << 10;

    /** Bytes that are searched together. */
    private static final int SEARCHED_BYTES = 96 << 10;

    /** Memory of a stream whose receiver takes what arrives, in bytes. */
    static final int MEMORY_BYTES = 2 * SEARCHED_BYTES;

    /** Largest response that is passed on, in bytes. A server in trouble may send without end. */
    private static final long MAX_BYTES = 256L << 20;

    private final HttpResponseWriter writer = HttpResponse.streaming();
    private final Channel channel;
    private final Function<byte[], EmbeddedResponse> search;
    private final BodyBuffer held = new BodyBuffer();
    private long receivedBytes;

    /**
     * Starts a response.
     *
     * @param headers   headers for the receiver
     * @param channel   connection to the server, from which nothing is read while the receiver takes nothing
     * @param search    searches bytes for another response
     * @param cancelled runs if the receiver takes no more
     */
    ResponseStream(
            ResponseHeaders headers, Channel channel, Function<byte[], EmbeddedResponse> search, Runnable cancelled) {
        this.channel = channel;
        this.search = search;
        writer.write(headers);
        writer.whenComplete().exceptionally(failure -> {
            channel.eventLoop().execute(cancelled);
            return null;
        });
    }

    /**
     * Returns the response.
     *
     * @return the response, whose body goes on arriving
     */
    HttpResponse response() {
        return writer;
    }

    /**
     * Returns whether the response is longer than one may be.
     *
     * @return {@code true} if it is
     */
    boolean isTooLong() {
        return receivedBytes > MAX_BYTES;
    }

    /**
     * Runs a task when the receiver has taken what was passed on so far.
     *
     * @param task the task
     */
    void whenConsumed(Runnable task) {
        writer.whenConsumed().thenRun(() -> channel.eventLoop().execute(task));
    }

    /**
     * Adds a part.
     *
     * @param part the part; it is not consumed
     * @return {@code false} if it shows that another response has begun
     */
    boolean add(ByteBuf part) {
        receivedBytes += part.readableBytes();
        held.add(part);
        if (held.length() < SEARCHED_BYTES) {
            return true;
        }
        byte[] bytes = heldBytes();
        if (search.apply(bytes) == EmbeddedResponse.PRESENT) {
            return false;
        }
        int passed = bytes.length - HELD_BYTES;
        held.add(Unpooled.wrappedBuffer(bytes, passed, HELD_BYTES));
        pass(Arrays.copyOf(bytes, passed));
        return true;
    }

    /**
     * Returns the bytes that are held back, and holds none of them any longer.
     *
     * @return the bytes
     */
    byte[] heldBytes() {
        byte[] bytes = held.toArray();
        held.clear();
        return bytes;
    }

    /**
     * Ends the response.
     *
     * @param rest its last bytes
     */
    void complete(HttpData rest) {
        if (!rest.isEmpty()) {
            writer.tryWrite(rest);
        }
        writer.close();
        // The next response on the connection does not wait for the receiver of this one.
        channel.config().setAutoRead(true);
    }

    /**
     * Breaks the response off, so that it does not look complete.
     *
     * @param reason the reason
     */
    void fail(Throwable reason) {
        writer.close(reason);
    }

    private void pass(byte[] bytes) {
        if (!writer.tryWrite(HttpData.wrap(bytes))) {
            return;
        }
        channel.config().setAutoRead(false);
        writer.whenConsumed().thenRun(() -> channel.eventLoop()
                .execute(() -> channel.config().setAutoRead(true)));
    }
}
