package io.mustardusher.admission;

/** How a dispatched call ended, as input to the concurrency limit of the gate. */
public enum CallEnd {
    /** Answered before the deadline. */
    ANSWERED,

    /** Shed by the server. */
    OVERLOADED,

    /** Not answered before the deadline: dropped by a full server, or its answer was lost. */
    UNANSWERED,

    /** Ended for a reason that carries no information about the load of the server, such as a cancellation. */
    ABANDONED
}
