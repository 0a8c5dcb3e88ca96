package io.mustardusher.account;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * SHA-256 digest of a key of a client account. Nodes compare digests, so that neither their tables nor the time of a
 * comparison reveal a key.
 */
public final class KeyDigest {

    private static final String ALGORITHM = "SHA-256";

    private final byte[] bytes;

    private KeyDigest(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Computes the digest of a key.
     *
     * @param key the key
     * @return its digest
     */
    public static KeyDigest of(String key) {
        try {
            return new KeyDigest(MessageDigest.getInstance(ALGORITHM).digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    /** Compares all bytes, so that the time does not depend on how many of them are equal. */
    @Override
    public boolean equals(Object other) {
        return other instanceof KeyDigest digest && MessageDigest.isEqual(bytes, digest.bytes);
    }

    @Override
    public int hashCode() {
        return ByteBuffer.wrap(bytes).getInt();
    }

    /** Returns a text without the digest, which must not appear in logs. */
    @Override
    public String toString() {
        return "KeyDigest";
    }
}
