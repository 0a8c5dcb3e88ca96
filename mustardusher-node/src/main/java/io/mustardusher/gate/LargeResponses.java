package io.mustardusher.gate;

import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import io.mustardusher.call.BodyMemory;
import io.mustardusher.time.Clock;

/**
 * Bodies of large responses, from which entries request parts. A body is kept until its entry has received all of it,
 * until no part was requested for some time, or until the bodies take too much memory. Thread-safe.
 */
final class LargeResponses {

    /** Size up to which a response is sent in one frame, in bytes. */
    static final int MAX_WHOLE_BYTES = 64 << 10;

    /** Size of a part, in bytes; two of them may be under way on a slow connection, which is 19 ms at 7 Mbit/s. */
    static final int PART_BYTES = 8 << 10;

    /** Memory for all bodies, in bytes: less than a sixth of a node's heap, and more than the longest body. */
    static final int MAX_BYTES = 10 << 20;

    /** Time after the last request for a part for which a body is kept, in nanoseconds. */
    private static final long RETENTION_NANOS = 5_000 * Clock.NANOS_PER_MILLI;

    private final Clock clock;

    /** Memory of all bodies. */
    private final BodyMemory.Share memory;

    /** Bodies by number of their call, in the order of the last access. */
    private final Map<Long, Body> bodies = new LinkedHashMap<>(16, 0.75f, true);

    private long heldBytes;

    LargeResponses(BodyMemory memory, Clock clock) {
        this.memory = memory.open();
        this.clock = clock;
    }

    /**
     * Keeps a body. The bodies that were not accessed for the longest time are dropped if there is no room.
     *
     * @param call  number of the call
     * @param bytes the body
     */
    synchronized void put(long call, byte[] bytes) {
        Iterator<Body> oldest = bodies.values().iterator();
        boolean reserved = reserve(bytes.length);
        while (oldest.hasNext()) {
            Body next = oldest.next();
            if (reserved && clock.nanoTime() - next.accessNanos <= RETENTION_NANOS) {
                break;
            }
            oldest.remove();
            release(next);
            reserved = reserved || reserve(bytes.length);
        }
        if (reserved) {
            bodies.put(call, new Body(bytes, clock.nanoTime()));
            heldBytes += bytes.length;
        }
    }

    private boolean reserve(int bytes) {
        return heldBytes + bytes <= MAX_BYTES && memory.reserve(bytes);
    }

    private void release(Body body) {
        heldBytes -= body.bytes.length;
        memory.release(body.bytes.length);
    }

    /**
     * Returns a part of a body.
     *
     * @param call   number of the call
     * @param offset position of its first byte
     * @return the part; empty if the body is not kept or ends before it
     */
    synchronized byte[] part(long call, long offset) {
        Body body = bodies.get(call);
        if (body == null || offset < 0 || offset >= body.bytes.length) {
            return new byte[0];
        }
        body.accessNanos = clock.nanoTime();
        int start = (int) offset;
        return Arrays.copyOfRange(body.bytes, start, Math.min(body.bytes.length, start + PART_BYTES));
    }

    /**
     * Drops a body, if it is kept.
     *
     * @param call number of the call
     */
    synchronized void remove(long call) {
        Body removed = bodies.remove(call);
        if (removed != null) {
            release(removed);
        }
    }

    /**
     * Returns the memory in use.
     *
     * @return size of all bodies, in bytes
     */
    synchronized long heldBytes() {
        return heldBytes;
    }

    private static final class Body {

        private final byte[] bytes;
        private long accessNanos;

        Body(byte[] bytes, long accessNanos) {
            this.bytes = bytes;
            this.accessNanos = accessNanos;
        }
    }
}
