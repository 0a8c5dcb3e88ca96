package io.mustardusher.budget;

import io.mustardusher.time.Clock;

/** A bucket of tokens that refills with time. Demand never raises its rate. */
public final class TokenBucket {

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;

    /** Tokens added each second. */
    private double rate;

    /** Most tokens held. */
    private double capacity;

    /** Tokens held. */
    private double tokens;

    /** Time of the last refill, in nanoseconds. */
    private long refilledNanos;

    /**
     * Creates a full bucket.
     *
     * @param clock    source of time
     * @param rate     tokens added each second
     * @param capacity most tokens held
     */
    public TokenBucket(Clock clock, double rate, double capacity) {
        this.clock = clock;
        this.rate = rate;
        this.capacity = capacity;
        this.tokens = capacity;
        this.refilledNanos = clock.nanoTime();
    }

    /**
     * Takes one token.
     *
     * @return {@code false} if there is none
     */
    public synchronized boolean tryTake() {
        return tryTake(1);
    }

    /**
     * Takes tokens.
     *
     * @param count how many
     * @return {@code false} if there are not as many, in which case none is taken
     */
    public synchronized boolean tryTake(double count) {
        refill();
        if (tokens < count) {
            return false;
        }
        tokens -= count;
        return true;
    }

    /**
     * Changes the rate and the capacity.
     *
     * @param newRate     tokens added each second
     * @param newCapacity most tokens held
     */
    public synchronized void resize(double newRate, double newCapacity) {
        if (newRate == rate && newCapacity == capacity) {
            return;
        }
        refill();
        rate = newRate;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Adds the tokens of the time since the last refill. */
    private void refill() {
        long now = clock.nanoTime();
        tokens = Math.min(capacity, tokens + (now - refilledNanos) / NANOS_PER_SECOND * rate);
        refilledNanos = now;
    }
}
