package io.mustardusher.entry;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

import io.mustardusher.frame.CallMessage;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.gate.FramedGate;
import io.mustardusher.log.NodeLog;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.TransferRate;
import io.mustardusher.time.Clock;

/**
 * Requests the rest of large responses from one gate in parts, a few at a time for all responses together and for each
 * response in turn, so that other frames on the connection wait for few bytes. A part that is lost with its connection
 * is requested again, so that a transfer goes on from what was received. Thread-safe.
 */
final class PartFetcher {

    /** Number of parts under way on a slow connection, so that its sender does not wait for the next request. */
    static final int MIN_WINDOW = 2;

    /** Number of parts under way on a fast connection. */
    private static final int MAX_WINDOW = 8;

    /** Time from request to arrival of a part up to which the connection has room for more, in nanoseconds. */
    private static final long FAST_PART_NANOS = 12 * Clock.NANOS_PER_MILLI;

    /** Time from request to arrival of a part from which fewer are requested at a time, in nanoseconds. */
    private static final long SLOW_PART_NANOS = 25 * Clock.NANOS_PER_MILLI;

    /** Timeout of a part, in milliseconds. */
    private static final long PART_TIMEOUT_MILLIS = 2_000;

    /** Number of failed requests after which a transfer is given up. */
    private static final int MAX_FAILURES = 3;

    private final Peers peers;
    private final InetSocketAddress address;
    private final TransferMemory memory;
    private final TransferRate rate;
    private final Clock clock;

    /** Transfers with parts to request, in the order of their next turns. */
    private final Deque<Transfer> queue = new ArrayDeque<>();

    private int underWay;

    /** Time of the last part's arrival, or of the first request after a pause, in nanoseconds. */
    private long busySinceNanos;

    private int window = MIN_WINDOW;

    /**
     * Creates a fetcher.
     *
     * @param peers   client of other nodes
     * @param address frame address of the gate's node
     * @param memory  memory for the responses
     * @param rate    learns from the transfers
     * @param clock   source of time
     */
    PartFetcher(Peers peers, InetSocketAddress address, TransferMemory memory, TransferRate rate, Clock clock) {
        this.peers = peers;
        this.address = address;
        this.memory = memory;
        this.rate = rate;
        this.clock = clock;
    }

    /**
     * Requests the rest of a response.
     *
     * @param call   number of the call
     * @param first  first bytes of the response
     * @param length size of the whole response, in bytes
     * @return the transfer
     */
    Transfer fetch(long call, byte[] first, int length) {
        Transfer transfer = new Transfer(call, length);
        memory.reserve(length, () -> {
            if (transfer.begin(first)) {
                enqueue(transfer);
            } else {
                memory.release(length);
            }
        });
        return transfer;
    }

    private void enqueue(Transfer transfer) {
        synchronized (this) {
            queue.addLast(transfer);
        }
        requestParts();
    }

    private void requestParts() {
        Part part = nextPart();
        while (part != null) {
            request(part);
            part = nextPart();
        }
    }

    private synchronized Part nextPart() {
        while (!queue.isEmpty() && queue.peekFirst().body.isDone()) {
            queue.removeFirst();
        }
        if (queue.isEmpty() || underWay >= window) {
            return null;
        }
        if (underWay == 0) {
            busySinceNanos = clock.nanoTime();
        }
        underWay++;
        Transfer transfer = queue.removeFirst();
        int offset = transfer.nextOffset;
        transfer.nextOffset = Math.min(transfer.length, offset + FramedGate.PART_BYTES);
        if (transfer.nextOffset < transfer.length) {
            queue.addLast(transfer);
        }
        return new Part(transfer, offset, transfer.nextOffset, clock.nanoTime());
    }

    private void request(Part part) {
        CompletableFuture<CallMessage> reply = peers.request(
                address, FrameKind.PART, CallMessage.part(part.transfer.call, part.offset), PART_TIMEOUT_MILLIS);
        reply.whenComplete((message, failure) -> {
            if (failure != null && part.transfer.mayRepeat()) {
                request(part);
                return;
            }
            byte[] bytes = failure == null ? message.body() : new byte[0];
            end(part, bytes);
            requestParts();
        });
    }

    private void end(Part part, byte[] bytes) {
        synchronized (this) {
            underWay--;
            long now = clock.nanoTime();
            rate.recordTransfer(bytes.length, now - busySinceNanos, now);
            busySinceNanos = now;
            long nanos = now - part.startNanos;
            if (nanos <= FAST_PART_NANOS) {
                window = Math.min(MAX_WINDOW, window + 1);
            } else if (nanos >= SLOW_PART_NANOS) {
                window = Math.max(MIN_WINDOW, window - 1);
            }
        }
        if (bytes.length == part.end - part.offset) {
            part.transfer.add(part.offset, bytes);
        } else {
            part.transfer.fail();
        }
    }

    private record Part(Transfer transfer, int offset, int end, long startNanos) {}

    /** The transfer of one response. */
    final class Transfer {

        private final long call;
        private final int length;
        private final long startNanos = clock.nanoTime();
        private final CompletableFuture<byte[]> body = new CompletableFuture<>();
        private byte[] bytes;
        private int received;
        private int nextOffset;
        private int failures;

        private Transfer(long call, int length) {
            this.call = call;
            this.length = length;
            body.whenComplete((ignored, failure) -> end());
        }

        /**
         * Returns the body.
         *
         * @return completes with the whole body, or fails with a {@link MustardusherException}
         */
        CompletableFuture<byte[]> body() {
            return body;
        }

        /** Gives the transfer up. */
        void fail() {
            body.completeExceptionally(
                    new MustardusherException(ResultCode.CONNECTION_LOST, "the answer was cut short"));
        }

        // Returns whether the transfer is still wanted. From then on it holds memory, which its end releases.
        private synchronized boolean begin(byte[] first) {
            if (body.isDone()) {
                return false;
            }
            bytes = new byte[length];
            System.arraycopy(first, 0, bytes, 0, first.length);
            received = first.length;
            nextOffset = first.length;
            return true;
        }

        private synchronized boolean mayRepeat() {
            failures++;
            return failures < MAX_FAILURES && !body.isDone();
        }

        private void add(int offset, byte[] part) {
            boolean whole;
            synchronized (this) {
                if (body.isDone()) {
                    return;
                }
                System.arraycopy(part, 0, bytes, offset, part.length);
                received += part.length;
                whole = received == length;
            }
            if (whole) {
                body.complete(bytes);
            }
        }

        // Also lets the gate drop the response.
        private void end() {
            peers.request(address, FrameKind.CANCEL, CallMessage.referringTo(call), PART_TIMEOUT_MILLIS);
            synchronized (this) {
                if (bytes != null) {
                    memory.release(length);
                }
            }
            if (!body.isCompletedExceptionally()) {
                memory.recordTransfer();
                long millis = (clock.nanoTime() - startNanos) / Clock.NANOS_PER_MILLI;
                NodeLog.DECISIONS.responseStreamed(address.toString(), length, millis);
            }
        }
    }
}
