package io.mustardusher.entry;

import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RequestLimits;
import io.netty.util.AsciiString;

/** Refuses what exceeds the operator's limits, before anything of it is sent on. */
final class CallLimits {

    /** Colon, blank and line end of a header line, in bytes. */
    private static final int LINE_BYTES = 4;

    private CallLimits() {}

    /**
     * Checks headers and the length that they state.
     *
     * @param headers headers of a request
     * @param limits  the limits
     * @throws MustardusherException if a limit is exceeded
     */
    static void check(RequestHeaders headers, RequestLimits limits) {
        if (limits == RequestLimits.NONE) {
            return;
        }
        if (size(headers) > limits.maxHeaderBytes()) {
            throw new MustardusherException(
                    ResultCode.HEADERS_TOO_LARGE, "at most " + limits.maxHeaderBytes() + " bytes of headers");
        }
        check(headers.contentLength(), limits);
    }

    /**
     * Checks the length of a body.
     *
     * @param length length in bytes; negative if unknown
     * @param limits the limits
     * @throws MustardusherException if it exceeds the limit
     */
    static void check(long length, RequestLimits limits) {
        if (length > limits.maxBodyBytes()) {
            throw new MustardusherException(
                    ResultCode.BODY_TOO_LARGE, "at most " + limits.maxBodyBytes() + " bytes of body");
        }
    }

    private static long size(RequestHeaders headers) {
        long[] bytes = new long[1];
        headers.forEach((AsciiString name, String value) -> bytes[0] += name.length() + value.length() + LINE_BYTES);
        return bytes[0];
    }
}
