package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Listens at an address, forwards to another one, and harms the connections between them. */
final class Relay {

    /** Called for what happens to connections. */
    interface Observer {

        void happened(String what);
    }

    /** How a stream ended. */
    private enum End {
        FINISHED,
        RESET
    }

    /** Bytes of a stream, or its end, and the earliest time at which they are forwarded. */
    private record Piece(ByteBuffer bytes, End end, long dueNanos) {}

    /** One direction of a connection. */
    final class Flow {

        private final Connection connection;
        private final SocketChannel source;
        private final SocketChannel sink;
        private final Deque<Piece> pieces = new ArrayDeque<>();
        private int queuedBytes;
        private int holds;
        private long latestDueNanos;
        private boolean ended;

        /** Number of bytes after which the connection breaks; negative if it doesn't. */
        private int bytesLeft = -1;

        private boolean resets;

        private Flow(Connection connection, SocketChannel source, SocketChannel sink) {
            this.connection = connection;
            this.source = source;
            this.sink = sink;
        }

        /** Forwards nothing until as many releases. */
        void hold() {
            holds++;
        }

        /** Forwards what has been held. */
        void release() {
            holds--;
            loop.waiting.add(connection);
        }

        private void read() {
            buffer.clear();
            try {
                int count = source.read(buffer);
                if (count < 0) {
                    add(null, End.FINISHED);
                } else if (count > 0) {
                    buffer.flip();
                    ByteBuffer copy = ByteBuffer.allocate(count);
                    copy.put(buffer).flip();
                    queuedBytes += count;
                    add(copy, null);
                }
            } catch (IOException e) {
                // Bytes that a link holds are lost when their sender resets the connection.
                pieces.clear();
                add(null, End.RESET);
            }
        }

        private void add(ByteBuffer bytes, End end) {
            int delay = connection.delayMillis;
            long millis = delay == 0 ? 0 : delay / 2 + random.nextInt(delay);
            latestDueNanos = Math.max(latestDueNanos, System.nanoTime() + millis * 1_000_000);
            pieces.add(new Piece(bytes, end, latestDueNanos));
            ended |= end != null;
            updateInterest();
            loop.waiting.add(connection);
        }

        private void updateInterest() {
            SelectionKey key = source.keyFor(loop.selector);
            if (key != null && key.isValid() && !connection.connecting) {
                key.interestOps(ended || queuedBytes >= QUEUE_BYTES ? 0 : SelectionKey.OP_READ);
            }
        }

        /** Forwards what is due; returns whether something is left. */
        private boolean forward(long now) throws IOException {
            int budget = connection.pieceBytes;
            while (!pieces.isEmpty() && holds == 0 && budget > 0 && pieces.peek().dueNanos <= now) {
                Piece piece = pieces.peek();
                if (piece.end != null) {
                    pieces.poll();
                    connection.pass(this, piece.end);
                    return false;
                }
                int most = Math.min(piece.bytes.remaining(), budget);
                most = bytesLeft < 0 ? most : Math.min(most, bytesLeft);
                int written = most == 0 ? 0 : sink.write(piece.bytes.slice(piece.bytes.position(), most));
                piece.bytes.position(piece.bytes.position() + written);
                queuedBytes -= written;
                budget -= written;
                bytesLeft -= bytesLeft < 0 ? 0 : written;
                if (bytesLeft == 0) {
                    breakOff();
                    return false;
                }
                if (written < most) {
                    break;
                }
                if (!piece.bytes.hasRemaining()) {
                    pieces.poll();
                }
            }
            updateInterest();
            return !pieces.isEmpty();
        }

        private void breakOff() {
            bytesLeft = -1;
            if (resets) {
                connection.reset("reset within a stream");
                return;
            }
            observer.happened("ended within a stream");
            pieces.clear();
            queuedBytes = 0;
            ended = true;
            updateInterest();
            connection.pass(this, End.FINISHED);
        }
    }

    /** A connection that the relay has accepted and its counterpart to the target. */
    final class Connection implements RelayLoop.Handler {

        /** Bytes to the target. */
        final Flow to;

        /** Bytes from the target. */
        final Flow from;

        private final SocketChannel accepted;
        private final SocketChannel opened;
        private boolean connecting = true;
        private boolean closed;
        private int delayMillis;
        private int pieceBytes = Integer.MAX_VALUE;
        private int passedEnds;

        private Connection(SocketChannel accepted) throws IOException {
            this.accepted = accepted;
            opened = SocketChannel.open();
            to = new Flow(this, accepted, opened);
            from = new Flow(this, opened, accepted);
            for (SocketChannel channel : List.of(accepted, opened)) {
                channel.configureBlocking(false);
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            }
            accepted.register(loop.selector, 0, this);
            opened.register(loop.selector, SelectionKey.OP_CONNECT, this);
            opened.connect(target);
        }

        @Override
        public void ready(SelectionKey key) {
            if (connecting) {
                try {
                    opened.finishConnect();
                } catch (IOException e) {
                    reset("target unreachable");
                    return;
                }
                connecting = false;
                to.updateInterest();
                from.updateInterest();
                return;
            }
            (key.channel() == accepted ? to : from).read();
        }

        /** Forwards what is due; returns whether something is left. */
        boolean forward(long now) {
            if (closed) {
                return false;
            }
            boolean left = forward(to, from, now);
            left |= !closed && forward(from, to, now);
            return left && !closed;
        }

        private boolean forward(Flow flow, Flow opposite, long now) {
            try {
                return flow.forward(now);
            } catch (IOException e) {
                // The peer has gone; its link tells the sender, unless that direction is held.
                flow.pieces.clear();
                flow.queuedBytes = 0;
                flow.ended = true;
                flow.updateInterest();
                opposite.pieces.clear();
                opposite.add(null, End.RESET);
                return true;
            }
        }

        private void pass(Flow flow, End end) {
            if (closed) {
                return;
            }
            if (end == End.RESET) {
                close(true);
                return;
            }
            try {
                flow.sink.shutdownOutput();
            } catch (IOException e) {
                close(true);
                return;
            }
            passedEnds++;
            if (passedEnds == 2) {
                close(false);
            }
        }

        void addDelay(int millis) {
            delayMillis += millis;
        }

        void limitPieces(int bytes) {
            pieceBytes = bytes;
        }

        /** Breaks the connection within the next bytes of a direction. */
        void breakWithin(boolean towardsTarget, int bytes, boolean resets) {
            Flow flow = towardsTarget ? to : from;
            flow.bytesLeft = 1 + bytes;
            flow.resets = resets;
        }

        /** Takes back a break that has not happened. */
        void disarm() {
            to.bytesLeft = -1;
            from.bytesLeft = -1;
        }

        /** Forwards nothing more; the ends learn nothing from each other. */
        void silence() {
            if (!closed) {
                observer.happened("silent for good");
                to.hold();
                from.hold();
            }
        }

        void reset(String reason) {
            if (!closed) {
                observer.happened(reason);
                close(true);
            }
        }

        private void close(boolean reset) {
            closed = true;
            connections.remove(this);
            for (SocketChannel channel : List.of(accepted, opened)) {
                try {
                    if (reset) {
                        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                    }
                    channel.close();
                } catch (IOException e) {
                    // The channel is closed already.
                }
            }
        }
    }

    /** A fault that has begun. */
    private record Ongoing(LinkFault fault, double share, Random random, List<Runnable> ends) {

        void apply(Connection connection) {
            if (random.nextDouble() < share) {
                ends.add(fault.begin(connection, random));
            }
        }
    }

    private static final int QUEUE_BYTES = 256 << 10;
    private static final int REOPEN_MILLIS = 10;

    private final RelayLoop loop;
    private final InetSocketAddress target;
    private final Random random;
    private final Observer observer;
    private final ByteBuffer buffer = ByteBuffer.allocate(16 << 10);
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final List<Ongoing> ongoing = new ArrayList<>();
    private InetSocketAddress address;
    private ServerSocketChannel listener;
    private int refusals;

    /** Starts a relay; a port of 0 stands for a free one. */
    Relay(RelayLoop loop, InetSocketAddress address, InetSocketAddress target, long seed, Observer observer)
            throws Exception {
        this.loop = loop;
        this.address = address;
        this.target = target;
        this.random = new Random(seed);
        this.observer = observer;
        CompletableFuture<Void> started = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                listen();
                started.complete(null);
            } catch (IOException e) {
                started.completeExceptionally(e);
            }
        });
        started.get();
    }

    /** Returns the address at which the relay listens. */
    InetSocketAddress address() {
        return address;
    }

    private void listen() throws IOException {
        listener = ServerSocketChannel.open();
        listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        listener.bind(address, 500);
        address = (InetSocketAddress) listener.getLocalAddress();
        listener.configureBlocking(false);
        listener.register(loop.selector, SelectionKey.OP_ACCEPT, (RelayLoop.Handler) key -> accept());
    }

    private void accept() {
        try {
            for (SocketChannel channel = listener.accept(); channel != null; channel = listener.accept()) {
                Connection connection = new Connection(channel);
                connections.add(connection);
                ongoing.forEach(fault -> fault.apply(connection));
            }
        } catch (IOException e) {
            observer.happened("not accepted");
        }
    }

    /** Harms a share of the connections for a time, those that exist and those that are opened meanwhile. */
    void harm(LinkFault fault, double share, int millis) {
        Ongoing begun = new Ongoing(fault, share, new Random(random.nextLong()), new ArrayList<>());
        loop.execute(() -> {
            ongoing.add(begun);
            List.copyOf(connections).forEach(begun::apply);
            refuse(fault == LinkFault.REFUSE ? 1 : 0);
        });
        Fleet.daemon(() -> {
            Thread.sleep(millis);
            loop.execute(() -> {
                ongoing.remove(begun);
                begun.ends.forEach(Runnable::run);
                refuse(fault == LinkFault.REFUSE ? -1 : 0);
            });
        });
    }

    private void refuse(int change) {
        refusals += change;
        try {
            if (refusals > 0 && listener.isOpen()) {
                listener.close();
            } else if (refusals == 0 && !listener.isOpen()) {
                listen();
            }
        } catch (IOException e) {
            // A listener that was closed in the same turn of the loop holds the address until the next one.
            Fleet.daemon(() -> {
                Thread.sleep(REOPEN_MILLIS);
                loop.execute(() -> refuse(0));
            });
        }
    }
}
