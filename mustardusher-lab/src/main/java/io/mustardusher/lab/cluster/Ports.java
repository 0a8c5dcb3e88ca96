package io.mustardusher.lab.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Ports of an upstream's node and backend server on the loopback address.
 *
 * @param caller  port of the node that accepts calls from callers
 * @param gate    port of the node that accepts calls from other nodes
 * @param frame   port of the node that accepts frames from other nodes
 * @param admin   port of the node's admin listener
 * @param backend port of the backend server
 */
public record Ports(int caller, int gate, int frame, int admin, int backend) {

    /** Lowest port to use. The range lies below the ephemeral ports that the system uses for outgoing connections. */
    private static final int FIRST_PORT = 12_000;

    /** Number of ports in the range. */
    private static final int PORT_COUNT = 18_000;

    /** Offset of the port tried last. It starts at a value that depends on the process, to avoid collisions. */
    private static int lastOffset = (int) (ProcessHandle.current().pid() * 101 % PORT_COUNT);

    /**
     * Finds ports that no socket is bound to. They aren't reserved, but not returned again until the range is used up.
     *
     * @return five different ports
     */
    public static synchronized Ports findFree() {
        return new Ports(nextFreePort(), nextFreePort(), nextFreePort(), nextFreePort(), nextFreePort());
    }

    /**
     * Advances to the next port that no socket is bound to.
     *
     * @return the free port
     */
    private static int nextFreePort() {
        for (int i = 0; i < PORT_COUNT; i++) {
            lastOffset = (lastOffset + 1) % PORT_COUNT;
            if (isFree(FIRST_PORT + lastOffset)) {
                return FIRST_PORT + lastOffset;
            }
        }
        throw new IllegalStateException("no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
    }

    /**
     * Returns whether a port can be bound.
     *
     * @param port port to check
     * @return {@code true} if no socket is bound to it
     */
    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
