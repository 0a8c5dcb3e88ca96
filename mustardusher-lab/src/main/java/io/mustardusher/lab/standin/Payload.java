package io.mustardusher.lab.standin;

import java.nio.charset.StandardCharsets;

/** Bodies that belong to one request and can be checked byte by byte. */
public final class Payload {

    private Payload() {}

    /**
     * Makes the body of an answer.
     *
     * @param id    id of the request
     * @param bytes length of the body
     * @return the id and a line end, over and over
     */
    public static byte[] of(String id, int bytes) {
        byte[] unit = (id + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[Math.max(bytes, unit.length)];
        for (int i = 0; i < body.length; i++) {
            body[i] = unit[i % unit.length];
        }
        return body;
    }

    /**
     * Checks the body of an answer.
     *
     * @param id    id of the request
     * @param bytes length that was asked for
     * @param body  the body
     * @return {@code true} if it is whole and the request's own
     */
    public static boolean matches(String id, int bytes, byte[] body) {
        byte[] unit = (id + "\n").getBytes(StandardCharsets.UTF_8);
        if (body.length != Math.max(bytes, unit.length)) {
            return false;
        }
        for (int i = 0; i < body.length; i++) {
            if (body[i] != unit[i % unit.length]) {
                return false;
            }
        }
        return true;
    }
}
