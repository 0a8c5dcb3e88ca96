package io.mustardusher.entry;

import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RequestLimits;
import io.netty.util.AsciiString;

/** Rejects requests that exceed the operator's limits, before any part of them is forwarded. */
final class CallLimits {

    /** Size of the colon and line end of a header line, in bytes. The space between name and value is optional. */
    private static final int HEADER_LINE_OVERHEAD_BYTES = 3;

    private CallLimits() {}

    /**
     * Checks the size of the headers and the content length that they declare.
     *
     * @param headers headers of a request
     * @param limits  the limits to enforce
     * @throws MustardusherException if a limit is exceeded
     */
    static void check(RequestHeaders headers, RequestLimits limits) {
        if (limits == RequestLimits.NONE) {
            return;
        }
        if (headerBytes(headers) > limits.maxHeaderBytes()) {
            throw new MustardusherException(
                    ResultCode.HEADERS_TOO_LARGE, "at most " + limits.maxHeaderBytes() + " bytes of headers");
        }
        check(headers.contentLength(), limits);
    }

    /**
     * Checks the length of a body.
     *
     * @param length length of the body, in bytes; negative if unknown
     * @param limits the limits to enforce
     * @throws MustardusherException if the length exceeds the limit
     */
    static void check(long length, RequestLimits limits) {
        if (length > limits.maxBodyBytes()) {
            throw new MustardusherException(
                    ResultCode.BODY_TOO_LARGE, "at most " + limits.maxBodyBytes() + " bytes of body");
        }
    }

    private static long headerBytes(RequestHeaders headers) {
        long[] bytes = new long[1];
        headers.forEach((AsciiString name, String value) -> {
            // Pseudo headers stand for the request line, which is not part of the header block.
            if (name.charAt(0) != ':') {
                bytes[0] += name.length() + value.length() + HEADER_LINE_OVERHEAD_BYTES;
            }
        });
        return bytes[0];
    }
}
