package io.mustardusher.frame;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;

/** The shared secret of the nodes, shown as its digest at the start of a connection. */
public final class Credential {

    /** Bytes of the digest. */
    private static final int DIGEST_BYTES = 32;

    private final String secret;

    /**
     * Creates a credential.
     *
     * @param secret the secret
     */
    public Credential(String secret) {
        this.secret = secret;
    }

    /**
     * Returns the value of the authorization header.
     *
     * @return the value
     */
    public String authorization() {
        return "Bearer " + secret;
    }

    /**
     * Checks an authorization header in constant time.
     *
     * @param header the header, or {@code null}
     * @return {@code true} if it carries the secret
     */
    public boolean matches(String header) {
        if (header == null) {
            return false;
        }
        byte[] expected = authorization().getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(expected, header.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns what the connecting side sends first.
     *
     * @return the digest of the secret
     */
    ByteBuf greeting() {
        return Unpooled.wrappedBuffer(digest());
    }

    /**
     * Returns the handler by which the accepting side checks what is sent first.
     *
     * @return a handler for one connection
     */
    ByteToMessageDecoder gatekeeper() {
        return new Gatekeeper(digest());
    }

    /**
     * Returns the digest of the secret.
     *
     * @return the digest
     */
    private byte[] digest() {
        try {
            return MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Checks the first bytes of a connection. */
    private static final class Gatekeeper extends ByteToMessageDecoder {

        /** The digest that must come. */
        private final byte[] expected;

        /**
         * Creates a handler.
         *
         * @param expected the digest that must come
         */
        Gatekeeper(byte[] expected) {
            this.expected = expected;
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            if (in.readableBytes() < DIGEST_BYTES) {
                return;
            }
            byte[] shown = new byte[DIGEST_BYTES];
            in.readBytes(shown);
            if (!MessageDigest.isEqual(expected, shown)) {
                in.skipBytes(in.readableBytes());
                throw new CorruptedFrameException("wrong credential");
            }
            context.pipeline().remove(this);
        }
    }
}
