package io.mustardusher.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.LongAdder;

/** Memory of an entry for large responses that are arriving from all gates. Transfers wait for their turn. */
final class TransferMemory {

    /** Size of the memory if none is stated, in bytes: an eighth of a node's heap. */
    static final long BYTES = 8 << 20;

    private final long size;
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final LongAdder transferred = new LongAdder();
    private long reserved;

    /** Creates a memory of the usual size. */
    TransferMemory() {
        this(BYTES);
    }

    /**
     * Creates a memory.
     *
     * @param size its size, in bytes; a longer response is transferred alone
     */
    TransferMemory(long size) {
        this.size = size;
    }

    /**
     * Reserves memory.
     *
     * @param bytes size of the response, in bytes
     * @param start runs when the memory is reserved, at once or from a later call of {@link #release}
     */
    void reserve(long bytes, Runnable start) {
        synchronized (this) {
            queue.addLast(new Waiting(bytes, start));
        }
        startWaiting();
    }

    /**
     * Releases memory.
     *
     * @param bytes size of the response, in bytes
     */
    void release(long bytes) {
        synchronized (this) {
            reserved -= bytes;
        }
        startWaiting();
    }

    /** Counts a response that was transferred whole. */
    void recordTransfer() {
        transferred.increment();
    }

    /**
     * Returns the number of responses that were transferred whole.
     *
     * @return number since the start of the process
     */
    long transferred() {
        return transferred.sum();
    }

    private void startWaiting() {
        Runnable next = poll();
        while (next != null) {
            next.run();
            next = poll();
        }
    }

    private synchronized Runnable poll() {
        Waiting first = queue.peekFirst();
        if (first == null || reserved > 0 && reserved + first.bytes > size) {
            return null;
        }
        reserved += first.bytes;
        queue.removeFirst();
        return first.start;
    }

    private record Waiting(long bytes, Runnable start) {}
}
