package io.mustardusher.allowance;

import io.mustardusher.generated.AllowanceRequest;

/** A deliberate defect of the protocol that the histories must detect. It changes messages as they are delivered. */
enum Mutation {
    NONE,

    /** A share is delegated to two coordinators at once. */
    DELEGATE_TWICE,

    /** Tokens are valid forever. */
    KEEP_TOKENS,

    /** The bucket of a new coordinator starts full. */
    START_FULL {
        @Override
        void deliver(AllowanceRequest request, long receiverNanos) {
            if (request.getDivisor() > 0) {
                request.setIdleMillis(1_000_000);
            }
        }
    },

    /** A delegation is valid from its receipt, however late it arrives. */
    COUNT_FROM_RECEIPT {
        @Override
        void deliver(AllowanceRequest request, long receiverNanos) {
            if (request.getStampBoot() != 0) {
                request.setStamp(receiverNanos);
            }
        }
    },

    /** Grants are forgotten after half of the window. */
    SHORT_MEMORY,

    /** Suspensions of a VM are not counted. */
    IGNORE_SUSPENSION,

    /** Tokens are earned, and waits end, by steps of the wall clock. */
    COUNT_STEPS;

    /**
     * Changes a message before its receiver gets it.
     *
     * @param request       the message
     * @param receiverNanos time of the receiver's clock, in nanoseconds
     */
    void deliver(AllowanceRequest request, long receiverNanos) {
        // Most mutations do not change messages.
    }
}
