package io.mustardusher.entry;

import java.util.EnumMap;
import java.util.Map;

/** What simulations of shared gates have to meet, so that their result says something. */
enum SharedGatesCondition {
    SUCCESS,
    FAILURE_OF_SERVER,
    SUCCESS_AFTER_EARLIER_RUN,
    REPORTED_AS_NOT_RUN,
    UNKNOWN_OUTCOME,
    CALLER_LEFT,
    CONNECTION_RESET,
    REQUEST_WITHOUT_CONNECTION,
    REQUEST_LOST,
    REPLY_LOST,
    CALL_RESUMED,
    RESUMED_AFTER_EVICTION,
    RESUMED_BEFORE_ARRIVAL,
    LARGE_ANSWER,
    PART_LOST,
    CANCEL_BEFORE_CALL,
    GATE_RESTARTED_WITH_CALLS,
    ENTRY_RESTARTED_WITH_CALLS,
    CLOCK_SET_BACK;

    /** Returns counts of all conditions, which are 0. */
    static Map<SharedGatesCondition, Integer> none() {
        Map<SharedGatesCondition, Integer> none = new EnumMap<>(SharedGatesCondition.class);
        for (SharedGatesCondition condition : SharedGatesCondition.values()) {
            none.put(condition, 0);
        }
        return none;
    }
}
