package io.mustardusher.lab.standin;

/** A fault that {@link PlatformServer} injects into operations of its table and its object store. */
public enum StoreFault {
    /** Operations work normally. */
    NONE,

    /** Every operation is rejected at once with status 503. */
    DOWN,

    /** No operation is run or answered. */
    SILENT,

    /** Operations run and answer after a delay of {@value PlatformServer#SLOW_RESPONSE_DELAY_MILLIS} ms. */
    SLOW,

    /** Commits are applied but not answered; other operations work normally. */
    LOSE_ANSWERS
}
