package io.mustardusher.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.Call;
import io.mustardusher.call.CallerProtocol;
import io.mustardusher.call.RunReport;
import io.mustardusher.log.DecisionLog;
import io.mustardusher.time.Clock;

/** What happened to a call at its entry, which one line tells when the call has ended. */
interface CallTrace {

    /**
     * Creates the trace of a call that has arrived.
     *
     * @param clock source of time
     * @return the trace; one that records nothing if decisions are not logged
     */
    static CallTrace start(Clock clock) {
        DecisionLog log = DecisionLog.INSTANCE;
        return log.isEnabled() ? new ForLog(log, clock) : Off.INSTANCE;
    }

    /**
     * Records that the call is routed. Calls that are rejected before have no line.
     *
     * @param call       the call
     * @param idempotent whether the call may run more than once
     */
    void routed(Call call, boolean idempotent);

    /**
     * Records that the call is sent to a gate.
     *
     * @param node node of the gate
     * @return the attempt
     */
    Attempt send(String node);

    /**
     * Records the status and the signature of the response for the caller.
     *
     * @param response response as the caller receives it
     * @param protocol protocol of the caller
     * @return the response
     */
    HttpResponse observe(HttpResponse response, CallerProtocol protocol);

    /**
     * Writes the line.
     *
     * @param complete whether the response is complete
     */
    void end(boolean complete);

    /** An attempt to get an answer from one server. */
    interface Attempt {

        /**
         * Records the answer of a backend server.
         *
         * @param status HTTP status of the answer
         * @param report what the gate tells about the run; empty if it tells nothing
         */
        void answered(int status, Optional<RunReport> report);

        /**
         * Records that no backend server answered.
         *
         * @param code number of the result code
         */
        void failed(int code);

        /** Records that the answer is the one for the caller. Only the first one of a call counts. */
        void passOn();
    }

    /** Records nothing. */
    enum Off implements CallTrace, Attempt {
        /** The only instance. */
        INSTANCE;

        @Override
        public void routed(Call call, boolean idempotent) {
            // not needed
        }

        @Override
        public Attempt send(String node) {
            return this;
        }

        @Override
        public HttpResponse observe(HttpResponse response, CallerProtocol protocol) {
            return response;
        }

        @Override
        public void end(boolean complete) {
            // not needed
        }

        @Override
        public void answered(int status, Optional<RunReport> report) {
            // not needed
        }

        @Override
        public void failed(int code) {
            // not needed
        }

        @Override
        public void passOn() {
            // not needed
        }
    }

    /** Records a call for the log. Thread-safe. */
    final class ForLog implements CallTrace {

        /** Number of attempts that a line lists; of the others only the last one is listed. */
        static final int MAX_ATTEMPTS = 20;

        private static final int LINE_CHARS = 160;

        private final DecisionLog log;
        private final Clock clock;
        private final long startNanos;
        private final List<Sending> sendings = new ArrayList<>(2);
        private Call call;
        private boolean idempotent;
        private int omitted;
        private Sending passedOn;
        private int status;
        private String digest;

        /**
         * Creates the trace of a call that arrives now.
         *
         * @param log   receives the line
         * @param clock source of time
         */
        ForLog(DecisionLog log, Clock clock) {
            this.log = log;
            this.clock = clock;
            this.startNanos = clock.nanoTime();
        }

        @Override
        public synchronized void routed(Call routed, boolean mayRunAgain) {
            call = routed;
            idempotent = mayRunAgain;
        }

        @Override
        public synchronized Attempt send(String node) {
            if (sendings.size() == MAX_ATTEMPTS) {
                sendings.remove(MAX_ATTEMPTS - 1);
                omitted++;
            }
            Sending sending = new Sending(node, clock.nanoTime());
            sendings.add(sending);
            return sending;
        }

        @Override
        public HttpResponse observe(HttpResponse response, CallerProtocol protocol) {
            return response.mapHeaders(headers -> record(headers, protocol));
        }

        private synchronized ResponseHeaders record(ResponseHeaders headers, CallerProtocol protocol) {
            status = headers.status().code();
            if (passedOn != null) {
                digest = RunReport.digest(protocol.signature(headers));
            }
            return headers;
        }

        @Override
        public synchronized void end(boolean complete) {
            if (call == null) {
                return;
            }
            String given = status == 0 ? "nothing" : status + (complete ? "" : " in part");
            log.callEnded(
                    call.options().id(),
                    idempotent ? "repeatable" : "unrepeatable",
                    call.service().value(),
                    attempts(),
                    given,
                    (clock.nanoTime() - startNanos) / Clock.NANOS_PER_MICRO,
                    passedOn == null ? "this node" : passedOn.source(digest));
        }

        private String attempts() {
            if (sendings.isEmpty()) {
                return "none";
            }
            StringBuilder text = new StringBuilder(LINE_CHARS);
            for (int i = 0; i < sendings.size(); i++) {
                if (i > 0) {
                    text.append(", ");
                }
                if (omitted > 0 && i == sendings.size() - 1) {
                    text.append(omitted).append(" more, ");
                }
                sendings.get(i).appendTo(text);
            }
            return text.toString();
        }

        private final class Sending implements Attempt {

            private final String node;
            private final long sentNanos;
            private long endNanos;

            /** HTTP status or number of the result code; 0 while there is neither. */
            private int result;

            private Optional<RunReport> run = Optional.empty();

            Sending(String node, long sentNanos) {
                this.node = node;
                this.sentNanos = sentNanos;
            }

            @Override
            public void answered(int answer, Optional<RunReport> report) {
                end(answer, report);
            }

            @Override
            public void failed(int code) {
                end(code, Optional.empty());
            }

            private void end(int ended, Optional<RunReport> report) {
                synchronized (ForLog.this) {
                    result = ended;
                    run = report;
                    endNanos = clock.nanoTime();
                }
            }

            @Override
            public void passOn() {
                synchronized (ForLog.this) {
                    if (passedOn == null) {
                        passedOn = this;
                    }
                }
            }

            void appendTo(StringBuilder text) {
                text.append(node).append(' ');
                if (result == 0) {
                    text.append("pending");
                } else {
                    text.append(result).append(' ').append((endNanos - sentNanos) / Clock.NANOS_PER_MICRO);
                    text.append(" us");
                }
            }

            String source(String passedDigest) {
                StringBuilder text = new StringBuilder(LINE_CHARS).append(node);
                run.ifPresent(report -> text.append(" over connection ")
                        .append(report.connection())
                        .append(", request ")
                        .append(report.requests())
                        .append(report.discarded() ? ", a response" : ", no response")
                        .append(" discarded, signature ")
                        .append(report.digest()));
                return text.append(", passed on ")
                        .append(passedDigest == null ? "-" : passedDigest)
                        .toString();
            }
        }
    }
}
