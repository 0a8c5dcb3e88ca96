package io.mustardusher.frame;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Relays TCP connections on the loopback interface. Connections can be made to go silent for good: their bytes are read
 * and discarded, so that neither end sees a reset, an end of stream or a full buffer. New connections are relayed. The
 * bytes of all connections can also be held back for a while, as by a node that is paused.
 */
public final class SilentRelay implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 << 10;

    private final ServerSocket listening;
    private final InetSocketAddress target;
    private final List<Relayed> relayed = new CopyOnWriteArrayList<>();
    private volatile boolean holding;
    private volatile long firstConnectionBytes = Long.MAX_VALUE;

    /**
     * Starts a relay.
     *
     * @param target address to which connections are relayed
     * @throws IOException if the relay cannot listen
     */
    public SilentRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        this.listening = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    /**
     * Returns the address at which the relay listens.
     *
     * @return the address
     */
    public InetSocketAddress address() {
        return new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort());
    }

    /** Silences all connections that are open, in both directions. */
    public void silenceOpenConnections() {
        relayed.forEach(connection -> connection.silent = true);
    }

    /**
     * Silences the first connection, which must not be open yet, once it has carried a number of bytes.
     *
     * @param bytes number of bytes in both directions together
     */
    public void silenceFirstConnectionAfter(long bytes) {
        firstConnectionBytes = bytes;
    }

    /** Holds back the bytes of all connections, also of new ones, until each is released. */
    public void holdAll() {
        holding = true;
        relayed.forEach(connection -> connection.held.compareAndSet(null, new CountDownLatch(1)));
    }

    /**
     * Passes on the bytes of a connection that were held back, and those that follow.
     *
     * @param index number of the connection in the order of acceptance, from 0
     */
    public void release(int index) {
        relayed.get(index).held.getAndSet(null).countDown();
    }

    /**
     * Returns the number of connections that were accepted.
     *
     * @return number of connections
     */
    public int accepted() {
        return relayed.size();
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Relayed connection : relayed) {
            connection.accepted.close();
            connection.outgoing.close();
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket accepted = listening.accept();
            Relayed connection = new Relayed(accepted, new Socket(target.getAddress(), target.getPort()));
            if (relayed.isEmpty()) {
                connection.bytesLeft.set(firstConnectionBytes);
            }
            if (holding) {
                connection.held.set(new CountDownLatch(1));
            }
            relayed.add(connection);
            daemon(() -> connection.copy(connection.accepted, connection.outgoing));
            daemon(() -> connection.copy(connection.outgoing, connection.accepted));
        }
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // One of the sockets was closed, which ends the relay between them.
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @FunctionalInterface
    private interface Task {
        void run() throws IOException;
    }

    private static final class Relayed {

        private final Socket accepted;
        private final Socket outgoing;
        private final AtomicReference<CountDownLatch> held = new AtomicReference<>();
        private final AtomicLong bytesLeft = new AtomicLong(Long.MAX_VALUE);
        private volatile boolean silent;

        Relayed(Socket accepted, Socket outgoing) {
            this.accepted = accepted;
            this.outgoing = outgoing;
        }

        void copy(Socket from, Socket to) throws IOException {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            int length = in.read(buffer);
            while (length >= 0) {
                awaitRelease();
                if (bytesLeft.addAndGet(-length) < 0) {
                    silent = true;
                }
                if (!silent) {
                    out.write(buffer, 0, length);
                }
                length = in.read(buffer);
            }
            if (!silent) {
                to.close();
            }
        }

        private void awaitRelease() throws IOException {
            CountDownLatch latch = held.get();
            try {
                if (latch != null) {
                    latch.await();
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }
}
