package io.mustardusher.admission;

/** How a dispatched call ended, as far as the gate's limit is concerned. */
public enum CallEnd {
    /** Answered in time. */
    ANSWERED,

    /** Shed by the server, or not answered in time. */
    OVERLOADED,

    /** Given up by the caller; says nothing about the server. */
    ABANDONED
}
