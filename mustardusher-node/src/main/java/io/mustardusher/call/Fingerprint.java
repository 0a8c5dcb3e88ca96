package io.mustardusher.call;

import java.nio.charset.StandardCharsets;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.RequestHeaders;

/** Hashes calls by content, so that equal requests have equal hashes. */
public final class Fingerprint {

    /** Offset basis of 64-bit FNV-1a. */
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;

    /** Prime of 64-bit FNV-1a. */
    private static final long PRIME = 0x100000001b3L;

    private Fingerprint() {}

    /**
     * Hashes service, method, path and body.
     *
     * @param service name of the service
     * @param headers headers of the request
     * @param body    the body; empty if it is streamed
     * @return the hash
     */
    public static long of(String service, RequestHeaders headers, HttpData body) {
        long hash = mix(OFFSET_BASIS, service.getBytes(StandardCharsets.UTF_8));
        hash = mix(hash, headers.method().name().getBytes(StandardCharsets.UTF_8));
        hash = mix(hash, headers.path().getBytes(StandardCharsets.UTF_8));
        hash = mix(hash, body.array());
        hash ^= hash >>> 32;
        return hash * PRIME;
    }

    /**
     * Adds a field to a hash. A terminator outside the range of bytes separates the field from the next one.
     *
     * @param hash  the hash so far
     * @param bytes the field
     * @return the new hash
     */
    private static long mix(long hash, byte[] bytes) {
        long mixed = hash;
        for (byte value : bytes) {
            mixed = (mixed ^ (value & 0xff)) * PRIME;
        }
        return (mixed ^ 0x1ff) * PRIME;
    }
}
