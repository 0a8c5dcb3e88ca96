package io.mustardusher.lab.standin;

/** How the platform's stand-in misbehaves. */
public enum StoreFault {
    /** It works. */
    NONE,

    /** It refuses every operation at once. */
    DOWN,

    /** It does not answer. */
    SILENT,

    /** It answers after {@value PlatformServer#SLOW_MILLIS} ms. */
    SLOW,

    /** It commits, and its answer is lost. */
    LOSE_ANSWERS
}
