package io.mustardusher.call;

import java.nio.charset.StandardCharsets;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.RequestHeaders;

/** Hashes that name a call by what it asks. */
public final class Fingerprint {

    /** Start of the hash (FNV-1a). */
    private static final long OFFSET = 0xcbf29ce484222325L;

    /** Factor of the hash (FNV-1a). */
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
        long hash = mix(OFFSET, service.getBytes(StandardCharsets.UTF_8));
        hash = mix(hash, headers.method().name().getBytes(StandardCharsets.UTF_8));
        hash = mix(hash, headers.path().getBytes(StandardCharsets.UTF_8));
        hash = mix(hash, body.array());
        hash ^= hash >>> 32;
        return hash * PRIME;
    }

    /**
     * Mixes bytes into a hash, with a mark at their end.
     *
     * @param hash  the hash
     * @param bytes the bytes
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
