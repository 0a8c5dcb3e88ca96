package io.mustardusher.call;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;

/**
 * Memory for the bodies of requests that a node holds, shared by all of them. If it is exhausted, the body that takes
 * most of it is given up among those that are still arriving, so that a sender without end does not displace others.
 * Thread-safe.
 */
public final class BodyMemory {

    /** Size of the memory for bodies that arrive in parts, in bytes: a quarter of a node's heap. */
    public static final int NODE_BYTES = 16 << 20;

    private final int size;

    /** Parts that can be given up. */
    private final Set<Share> arriving = new HashSet<>();

    private int reserved;
    private long givenUp;

    /**
     * Creates a memory that is not used.
     *
     * @param size its size, in bytes
     */
    public BodyMemory(int size) {
        this.size = size;
    }

    /**
     * Creates a memory of the usual size of a node.
     *
     * @return the memory
     */
    public static BodyMemory ofNode() {
        return new BodyMemory(NODE_BYTES);
    }

    /**
     * Returns the reason with which a body is given up.
     *
     * @return an exception whose code means "not run"
     */
    public static MustardusherException exhausted() {
        return new MustardusherException(ResultCode.BODY_MEMORY_EXHAUSTED, "no memory for the body");
    }

    /**
     * Returns the memory in use.
     *
     * @return bytes that are reserved
     */
    public synchronized int reservedBytes() {
        return reserved;
    }

    /**
     * Returns the number of bodies that were given up, or not begun, for lack of memory.
     *
     * @return number since the start of the process
     */
    public synchronized long givenUp() {
        return givenUp;
    }

    /**
     * Opens an empty share for a body that is not given up in favour of others.
     *
     * @return the share
     */
    public Share open() {
        return new Share(null);
    }

    /**
     * Opens an empty share for a body that is arriving.
     *
     * @param giveUp gives up the body, when others need the memory
     * @return the share
     */
    public Share open(Runnable giveUp) {
        Share share = new Share(giveUp);
        synchronized (this) {
            arriving.add(share);
        }
        return share;
    }

    // Returns the largest body that can be given up, if it is larger than the other one.
    private Share largestAbove(int bytes) {
        return arriving.stream()
                .filter(share -> share.bytes > bytes)
                .max(Comparator.comparingInt(share -> share.bytes))
                .orElse(null);
    }

    /** Memory of one body. */
    public final class Share {

        private final Runnable giveUp;
        private int bytes;
        private boolean closed;

        private Share(Runnable giveUp) {
            this.giveUp = giveUp;
        }

        /**
         * Reserves memory, at the expense of larger bodies if there is none left.
         *
         * @param added the memory, in bytes
         * @return {@code false} if there is no room, or if this body was given up
         */
        public boolean reserve(int added) {
            while (true) {
                Share largest;
                synchronized (BodyMemory.this) {
                    if (closed) {
                        return false;
                    }
                    if (added <= size - reserved) {
                        bytes += added;
                        reserved += added;
                        return true;
                    }
                    largest = added > size ? null : largestAbove(bytes + added);
                    givenUp++;
                    if (largest == null) {
                        return false;
                    }
                    largest.release();
                }
                // Without the lock, since this runs foreign code.
                largest.giveUp.run();
            }
        }

        /** Keeps the memory until it is released: the body is no longer given up. */
        public void complete() {
            synchronized (BodyMemory.this) {
                arriving.remove(this);
            }
        }

        /**
         * Returns the memory of this body.
         *
         * @return bytes that are reserved
         */
        public int bytes() {
            synchronized (BodyMemory.this) {
                return bytes;
            }
        }

        /**
         * Releases a part of the memory.
         *
         * @param released the part, in bytes
         */
        public void release(int released) {
            synchronized (BodyMemory.this) {
                int part = Math.min(released, bytes);
                bytes -= part;
                reserved -= part;
            }
        }

        /** Releases the memory. Has no effect if it was released before. */
        public void release() {
            synchronized (BodyMemory.this) {
                arriving.remove(this);
                reserved -= bytes;
                bytes = 0;
                closed = true;
            }
        }
    }
}
