package io.mustardusher.entry;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;

/** Body of a call: held whole, so that it can be sent again, or streamed once. */
interface CallBody {

    /**
     * Makes a request with this body.
     *
     * @param headers headers of the request
     * @return the request
     */
    HttpRequest toRequest(RequestHeaders headers);

    /**
     * Tells whether further requests can be made.
     *
     * @return {@code true} if they can
     */
    boolean isReplayable();

    /**
     * Returns what the fingerprint covers.
     *
     * @return the body, or nothing of a streamed one
     */
    HttpData forFingerprint();

    /**
     * A body held whole.
     *
     * @param data     the body
     * @param trailers trailers of the request
     */
    record Whole(HttpData data, HttpHeaders trailers) implements CallBody {

        /** The empty body. */
        static final Whole EMPTY = new Whole(HttpData.empty(), HttpHeaders.of());

        @Override
        public HttpRequest toRequest(RequestHeaders headers) {
            return HttpRequest.of(headers, data, trailers);
        }

        @Override
        public boolean isReplayable() {
            return true;
        }

        @Override
        public HttpData forFingerprint() {
            return data;
        }
    }

    /**
     * A body streamed once.
     *
     * @param request the request as it comes
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
        public HttpData forFingerprint() {
            return HttpData.empty();
        }
    }
}
