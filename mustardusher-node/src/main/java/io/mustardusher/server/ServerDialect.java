package io.mustardusher.server;

import java.util.Optional;

import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;

/** What a deployment's backend servers expect in requests and say in answers. */
public interface ServerDialect {

    /**
     * Writes the headers of a request to a backend server.
     *
     * @param call      headers of the call, without those that only nodes set
     * @param instance  start of the server that the request is meant for, or {@code null}
     * @param leftNanos time left for the answer, in nanoseconds
     * @return the headers
     */
    RequestHeaders request(RequestHeadersBuilder call, String instance, long leftNanos);

    /**
     * Judges an answer by its headers.
     *
     * @param sent   headers of the request
     * @param answer headers of the answer
     * @return what the answer means
     */
    Verdict judge(RequestHeaders sent, ResponseHeaders answer);

    /**
     * Reads what the server says of its own load.
     *
     * @param answer headers of an answer
     * @return the reading, or empty if there is none
     */
    Optional<ServerReading> reading(ResponseHeaders answer);

    /**
     * Reads which start of the server has answered.
     *
     * @param answer headers of an answer to a question after its health
     * @return name of the start, or empty if it does not tell
     */
    Optional<String> instance(ResponseHeaders answer);

    /** Services that are asked plainly and say nothing of their load. */
    enum Plain implements ServerDialect {
        /** The only instance. */
        INSTANCE;

        @Override
        public RequestHeaders request(RequestHeadersBuilder call, String instance, long leftNanos) {
            return call.build();
        }

        @Override
        public Verdict judge(RequestHeaders sent, ResponseHeaders answer) {
            return Verdict.ANSWER;
        }

        @Override
        public Optional<ServerReading> reading(ResponseHeaders answer) {
            return Optional.empty();
        }

        @Override
        public Optional<String> instance(ResponseHeaders answer) {
            return Optional.empty();
        }
    }

    /** What an answer means. */
    enum Verdict {
        /** The server ran the request, and this is its answer. */
        ANSWER,

        /** The server says that it did not run the request. */
        NOT_RUN,

        /** The answer belongs to an earlier request on the connection. */
        FOREIGN,

        /** The answer cannot be the server's own. */
        SPOILED
    }
}
