package io.mustardusher.call;

import java.util.function.Supplier;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RequestLimits;

/** How callers state a call, and how they are answered. */
public interface CallDialect {

    /**
     * Reads a call.
     *
     * @param headers headers of the request
     * @param now     present time, in nanoseconds
     * @return the call
     * @throws MustardusherException if the call is refused
     */
    Call read(RequestHeaders headers, long now);

    /**
     * Returns the limits on what callers may send.
     *
     * @return the limits in force
     */
    RequestLimits limits();

    /**
     * Writes an answer in the callers' terms.
     *
     * @param request headers of the request
     * @param answer  the answer, with the headers that nodes set
     * @return the answer for the caller
     */
    HttpResponse write(RequestHeaders request, HttpResponse answer);

    /**
     * The product's own interface: a service named in a header, its terms from the catalogue.
     *
     * @param catalogue the catalogue in force; {@code null} before the first
     */
    record ForCatalogue(Supplier<Catalogue> catalogue) implements CallDialect {

        @Override
        public Call read(RequestHeaders headers, long now) {
            Catalogue present = catalogue.get();
            if (present == null) {
                throw new MustardusherException(ResultCode.NODE_STARTING, "neither the table service nor peers answer");
            }
            return Call.read(headers, present, now);
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
