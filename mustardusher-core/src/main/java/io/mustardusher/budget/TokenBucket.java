package io.mustardusher.budget;

import io.mustardusher.time.Clock;

/** Token bucket that is refilled at a configured rate, independent of the demand. Thread-safe. */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;

    private double tokensPerSecond;

    /** Maximum number of tokens. */
    private double capacity;

    /** Available tokens. */
    private double tokens;

    /** Time of the last refill, in nanoseconds. */
    private long lastRefillNanos;

    /**
     * Creates a full bucket.
     *
     * @param clock           source of time
     * @param tokensPerSecond refill rate
     * @param capacity        maximum number of tokens
     */
    public TokenBucket(Clock clock, double tokensPerSecond, double capacity) {
        this.clock = clock;
        this.tokensPerSecond = tokensPerSecond;
        this.capacity = capacity;
        this.tokens = capacity;
        this.lastRefillNanos = clock.nanoTime();
    }

    /**
     * Takes one token if it is available.
     *
     * @return {@code true} if a token was taken
     */
    public synchronized boolean tryTake() {
        return tryTake(1);
    }

    /**
     * Takes the given number of tokens if all of them are available, and none otherwise.
     *
     * @param count number of tokens
     * @return {@code true} if the tokens were taken
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
     * Returns the time until a number of tokens can have been taken, one after the other.
     *
     * @param count number of tokens
     * @return time in nanoseconds; 0 if the tokens are available, infinite if the bucket is not refilled
     */
    public synchronized double nanosUntil(double count) {
        refill();
        return tokens >= count ? 0 : (count - tokens) / tokensPerSecond * NANOS_PER_SECOND;
    }

    /**
     * Changes the refill rate and the capacity; tokens above the new capacity are discarded.
     *
     * @param newTokensPerSecond refill rate
     * @param newCapacity        maximum number of tokens
     */
    public synchronized void resize(double newTokensPerSecond, double newCapacity) {
        if (newTokensPerSecond == tokensPerSecond && newCapacity == capacity) {
            return;
        }
        refill();
        tokensPerSecond = newTokensPerSecond;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Adds the tokens that are due since the last refill. */
    private void refill() {
        long now = clock.nanoTime();
        tokens = Math.min(capacity, tokens + (now - lastRefillNanos) / NANOS_PER_SECOND * tokensPerSecond);
        lastRefillNanos = now;
    }
}
