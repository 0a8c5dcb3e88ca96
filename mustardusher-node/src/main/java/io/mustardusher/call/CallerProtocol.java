package io.mustardusher.call;

import java.util.Optional;
import java.util.function.Supplier;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RequestLimits;

/** Protocol between an entry and its callers: parses calls from requests and writes the answers. */
public interface CallerProtocol {

    /**
     * Parses a call from the headers of its request.
     *
     * @param headers headers of the request
     * @param now     current time, in nanoseconds of the clock
     * @return the call
     * @throws MustardusherException if the request is rejected
     */
    Call read(RequestHeaders headers, long now);

    /**
     * Returns the name of a call in the log.
     *
     * @param request headers of the request, which need not be valid
     * @return the name; a dash if the caller gave none
     */
    String callName(RequestHeaders request);

    /**
     * Returns the limits on the size and the duration of requests.
     *
     * @return the limits in force
     */
    RequestLimits limits();

    /**
     * Converts an answer into the form that callers of this protocol expect.
     *
     * @param request headers of the request
     * @param answer  the answer, with the headers that nodes set
     * @return the answer for the caller
     */
    HttpResponse write(RequestHeaders request, HttpResponse answer);

    /**
     * Reads the signature of a backend server over its answer.
     *
     * @param answer headers of the answer for the caller
     * @return the signature, or empty if there is none
     */
    default Optional<String> signature(ResponseHeaders answer) {
        return Optional.empty();
    }

    /**
     * The native protocol: a header names the service, whose settings come from the catalogue.
     *
     * @param catalogue supplies the catalogue in force; {@code null} before the first one has arrived
     */
    record ForCatalogue(Supplier<Catalogue> catalogue) implements CallerProtocol {

        @Override
        public Call read(RequestHeaders headers, long now) {
            Catalogue current = catalogue.get();
            if (current == null) {
                throw new MustardusherException(ResultCode.NODE_STARTING, "neither the table service nor peers answer");
            }
            return Call.read(headers, current, now);
        }

        @Override
        public String callName(RequestHeaders request) {
            return CallOptions.NONE.id();
        }

        @Override
        public RequestLimits limits() {
            return RequestLimits.NONE;
        }

        @Override
        public HttpResponse write(RequestHeaders request, HttpResponse answer) {
            return answer;
        }
    }
}
