package io.mustardusher.lab.standin;

import java.nio.charset.StandardCharsets;

/** Generates and verifies response bodies whose content is determined by the id of the request. */
public final class Payload {

    private Payload() {}

    /**
     * Generates the body of a response.
     *
     * @param id    id of the request
     * @param bytes requested length, in bytes; a shorter one than a single line is raised to one line
     * @return the line of the id and a line feed, repeated up to the length
     */
    public static byte[] of(String id, int bytes) {
        byte[] pattern = (id + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[Math.max(bytes, pattern.length)];
        for (int i = 0; i < body.length; i++) {
            body[i] = pattern[i % pattern.length];
        }
        return body;
    }

    /**
     * Returns whether a body is the complete response to a request.
     *
     * @param id    id of the request
     * @param bytes requested length, in bytes
     * @param body  received body
     * @return {@code true} if length and content are those that {@link #of(String, int)} generates
     */
    public static boolean matches(String id, int bytes, byte[] body) {
        byte[] pattern = (id + "\n").getBytes(StandardCharsets.UTF_8);
        if (body.length != Math.max(bytes, pattern.length)) {
            return false;
        }
        for (int i = 0; i < body.length; i++) {
            if (body[i] != pattern[i % pattern.length]) {
                return false;
            }
        }
        return true;
    }
}
