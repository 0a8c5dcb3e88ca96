package io.mustardusher.frame;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.mustardusher.health.ConnectionSilence;
import io.mustardusher.time.Clock;

/**
 * The connections to one other node: the one on which requests are sent, and those that were replaced because they
 * carried no bytes. A replaced connection is given up only when the node answers on a later one while the replaced one
 * stays silent: a node that is merely slow answers on neither, and loses nothing. Thread-safe.
 */
final class PeerConnections {

    /** Shortest time between two replacements, in nanoseconds, so that a slow node is not flooded with connections. */
    private static final long MIN_REPLACEMENT_INTERVAL_NANOS = 1_000 * Clock.NANOS_PER_MILLI;

    /** Number of replaced connections beyond which the oldest is given up. */
    private static final int MAX_REPLACED = 2;

    /**
     * Time that a replaced connection has for its bytes after the node has answered on a later one, in milliseconds.
     * The answers may arrive in either order.
     */
    private static final long SETTLING_MILLIS = 50;

    /** Time without an unfounded replacement after which the node is trusted to answer fast again, in nanoseconds. */
    private static final long PATIENCE_RESET_NANOS = 30_000 * Clock.NANOS_PER_MILLI;

    private final Function<PeerConnections, FrameConnection> opener;
    private final Consumer<FrameConnection> silenceListener;
    private final Clock clock;
    private final Deque<FrameConnection> replaced = new ArrayDeque<>();
    private FrameConnection current;
    private long lastReplacementNanos;
    private long lastUnfoundedNanos;
    private volatile long patienceNanos = ConnectionSilence.MIN_PATIENCE_NANOS;

    /**
     * Creates a set without connections.
     *
     * @param opener          opens a connection
     * @param silenceListener called with each connection that is given up because it is silent, before it is closed
     * @param clock           source of time
     */
    PeerConnections(
            Function<PeerConnections, FrameConnection> opener, Consumer<FrameConnection> silenceListener, Clock clock) {
        this.opener = opener;
        this.silenceListener = silenceListener;
        this.clock = clock;
        this.lastReplacementNanos = clock.nanoTime() - MIN_REPLACEMENT_INTERVAL_NANOS;
    }

    /**
     * Returns the connection for requests, and opens it if there is none.
     *
     * @return the connection, which may still be opening
     */
    synchronized FrameConnection current() {
        if (current == null) {
            current = opener.apply(this);
        }
        return current;
    }

    /**
     * Returns the connection for requests.
     *
     * @return the connection, or {@code null} if there is none
     */
    synchronized FrameConnection currentOrNull() {
        return current;
    }

    /**
     * Returns the time without a byte after a ping until a connection is replaced. It grows with each replacement that
     * turns out to be unfounded.
     *
     * @return time in nanoseconds
     */
    long patienceNanos() {
        return patienceNanos;
    }

    /**
     * Records that a connection is open. If others were replaced, finds out whether the node answers on this one.
     *
     * @param connection the connection
     */
    void opened(FrameConnection connection) {
        boolean undecided;
        synchronized (this) {
            undecided = !replaced.isEmpty();
        }
        if (undecided) {
            connection.ping(this::judgeReplacedLater);
        }
    }

    /**
     * Records that a connection was closed or could not be opened.
     *
     * @param connection the connection
     */
    synchronized void closed(FrameConnection connection) {
        replaced.remove(connection);
        if (current == connection) {
            current = null;
        }
    }

    /**
     * Opens another connection for further requests, unless this was done a short time ago.
     *
     * @param connection connection that carries no bytes
     */
    void replace(FrameConnection connection) {
        FrameConnection givenUp = null;
        synchronized (this) {
            long now = clock.nanoTime();
            if (current != connection || now - lastReplacementNanos < MIN_REPLACEMENT_INTERVAL_NANOS) {
                return;
            }
            lastReplacementNanos = now;
            connection.setReplaced();
            replaced.addLast(connection);
            if (replaced.size() > MAX_REPLACED) {
                givenUp = replaced.removeFirst();
            }
            current = opener.apply(this);
        }
        if (givenUp != null) {
            giveUp(givenUp);
        }
    }

    private void judgeReplacedLater(FrameConnection answering) {
        answering.channel().eventLoop().schedule(this::judgeReplaced, SETTLING_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void judgeReplaced() {
        List<FrameConnection> silent = new ArrayList<>();
        synchronized (this) {
            long now = clock.nanoTime();
            for (FrameConnection connection : replaced) {
                if (!connection.hasRecovered()) {
                    silent.add(connection);
                }
            }
            if (silent.size() < replaced.size()) {
                patienceNanos = Math.min(ConnectionSilence.MAX_PATIENCE_NANOS, 2 * patienceNanos);
                lastUnfoundedNanos = now;
            } else if (now - lastUnfoundedNanos > PATIENCE_RESET_NANOS) {
                patienceNanos = ConnectionSilence.MIN_PATIENCE_NANOS;
            }
        }
        silent.forEach(this::giveUp);
    }

    private void giveUp(FrameConnection connection) {
        silenceListener.accept(connection);
        connection.closeSilent();
    }
}
