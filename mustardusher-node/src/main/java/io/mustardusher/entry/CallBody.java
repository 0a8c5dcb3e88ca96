package io.mustardusher.entry;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;

/** Body of a call: either buffered, so that it can be sent again, or streamed once. */
interface CallBody {

    /**
     * Creates a request with this body.
     *
     * @param headers headers of the request
     * @return the request
     */
    HttpRequest toRequest(RequestHeaders headers);

    /**
     * Returns whether the body can be sent more than once.
     *
     * @return {@code true} if {@link #toRequest} may be called again
     */
    boolean isReplayable();

    /**
     * Returns the bytes of the body that this node holds. The fingerprint of the call covers them.
     *
     * @return the body; empty for a streamed body
     */
    HttpData bufferedData();

    /**
     * A body that is held in memory.
     *
     * @param data     bytes of the body
     * @param trailers trailers of the request
     */
    record Buffered(HttpData data, HttpHeaders trailers) implements CallBody {

        /** The empty body. */
        static final Buffered EMPTY = new Buffered(HttpData.empty(), HttpHeaders.of());

        @Override
        public HttpRequest toRequest(RequestHeaders headers) {
            return HttpRequest.of(headers, data, trailers);
        }

        @Override
        public boolean isReplayable() {
            return true;
        }

        @Override
        public HttpData bufferedData() {
            return data;
        }
    }

    /**
     * A body that is streamed from the caller and can be sent only once.
     *
     * @param request the caller's request
     */
    record Streamed(HttpRequest request) implements CallBody {

        @Override
        public HttpRequest toRequest(RequestHeaders headers) {
            return request.withHeaders(headers);
        }

        @Override
        public boolean isReplayable() {
            return false;
        }

        @Override
        public HttpData bufferedData() {
            return HttpData.empty();
        }
    }
}
