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

/** The shared secret of the nodes. The connecting side of a frame connection first sends its digest. */
public final class Credential {

    /** Length of the digest, in bytes. */
    private static final int DIGEST_BYTES = 32;

    private final String secret;

    /**
     * Creates a credential.
     *
     * @param secret the shared secret
     */
    public Credential(String secret) {
        this.secret = secret;
    }

    /**
     * Returns the value of the authorization header with the secret as bearer token.
     *
     * @return value of the header
     */
    public String authorization() {
        return "Bearer " + secret;
    }

    /**
     * Returns whether an authorization header holds the secret. The comparison takes constant time.
     *
     * @param header value of the header, or {@code null}
     * @return {@code true} if the header holds the secret
     */
    public boolean matches(String header) {
        if (header == null) {
            return false;
        }
        byte[] expected = authorization().getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(expected, header.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the bytes that the connecting side sends first.
     *
     * @return SHA-256 digest of the secret
     */
    ByteBuf handshake() {
        return Unpooled.wrappedBuffer(digest());
    }

    /**
     * Creates the handler with which the accepting side verifies the first bytes of a connection.
     *
     * @return a handler for one connection
     */
    ByteToMessageDecoder handshakeVerifier() {
        return new HandshakeVerifier(digest());
    }

    private byte[] digest() {
        try {
            return MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Verifies the digest at the start of a connection, and closes the connection if it is wrong. */
    private static final class HandshakeVerifier extends ByteToMessageDecoder {

        private final byte[] expected;

        HandshakeVerifier(byte[] expected) {
            this.expected = expected;
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            if (in.readableBytes() < DIGEST_BYTES) {
                return;
            }
            byte[] received = new byte[DIGEST_BYTES];
            in.readBytes(received);
            if (!MessageDigest.isEqual(expected, received)) {
                in.skipBytes(in.readableBytes());
                throw new CorruptedFrameException("wrong credential");
            }
            context.pipeline().remove(this);
        }
    }
}
