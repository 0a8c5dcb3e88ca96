package io.mustardusher.server;

import io.mustardusher.instance.ServerConditions;

/** Receives what a backend server reports about itself in its answers. */
public interface ServerReports {

    /**
     * Handles the load of the server.
     *
     * @param load the load
     */
    void onLoad(ReportedServerLoad load);

    /**
     * Handles the conditions that the server states in an answer to a call.
     *
     * @param instance   identifier of the server instance; {@code null} if it has none
     * @param conditions the conditions; without any if the answer states none
     * @param sentNanos  time at which the call was sent to the server, in nanoseconds
     */
    void onConditions(String instance, ServerConditions conditions, long sentNanos);

    /**
     * Handles the answer of a healthy server to a probe.
     *
     * @param coldMillis time for which the server is still cold, in milliseconds; 0 if it is not
     * @param sentNanos  time at which the probe was sent, in nanoseconds
     */
    default void onHealth(long coldMillis, long sentNanos) {
        // Receivers that do not pace calls have no use for it.
    }

    /**
     * Handles a response that was given up because it is malformed or has no end.
     *
     * @param fault why it was given up
     */
    void onResponseFault(ResponseFault fault);

    /**
     * Handles bytes that break the grammar of responses, in addition to the fault for which their response is given up.
     *
     * @param fault how they break it
     */
    default void onMalformedResponse(SyntaxFault fault) {
        // Receivers that keep no log have no use for it.
    }

    /**
     * Handles a response that is discarded because it does not belong to the request that awaits one.
     *
     * @param response the response
     */
    default void onDiscardedResponse(DiscardedResponse response) {
        // Receivers that keep no log have no use for it.
    }

    /**
     * Handles a request that is sent to the server again.
     *
     * @param request identifier of the request
     */
    default void onRepeatedRequest(String request) {
        // Receivers that keep no log have no use for it.
    }

    /** Ignores all reports. */
    enum Discarding implements ServerReports {
        /** The only instance. */
        INSTANCE;

        @Override
        public void onLoad(ReportedServerLoad load) {
            // not needed
        }

        @Override
        public void onConditions(String instance, ServerConditions conditions, long sentNanos) {
            // not needed
        }

        @Override
        public void onResponseFault(ResponseFault fault) {
            // not needed
        }
    }
}
