package io.mustardusher.lab.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Ports of one upstream on the loopback address.
 *
 * @param caller  for callers
 * @param gate    for other nodes
 * @param frame   for frames
 * @param admin   for operators
 * @param backend of the backend server
 */
public record Ports(int caller, int gate, int frame, int admin, int backend) {

    /** First port tried, below those that the system gives to outgoing connections. */
    private static final int FIRST = 12_000;

    /** Ports tried. */
    private static final int RANGE = 18_000;

    /** Next port to try, from a place that differs between processes. */
    private static int next = (int) (ProcessHandle.current().pid() * 101 % RANGE);

    /**
     * Finds free ports.
     *
     * @return the ports
     */
    public static synchronized Ports free() {
        return new Ports(one(), one(), one(), one(), one());
    }

    /**
     * Finds a free port.
     *
     * @return the port
     */
    private static int one() {
        for (int i = 0; i < RANGE; i++) {
            next = (next + 1) % RANGE;
            if (isFree(FIRST + next)) {
                return FIRST + next;
            }
        }
        throw new IllegalStateException("no free port");
    }

    /**
     * Tells whether a port is free.
     *
     * @param port the port
     * @return {@code true} if it can be bound
     */
    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
