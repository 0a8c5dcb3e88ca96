package io.mustardusher.call;

import java.util.concurrent.CompletionException;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.schema.JsonTree;

/**
 * Problem details that describe a rejected or failed call to its caller, as in RFC 9457.
 *
 * @param type    URN of the result code
 * @param title   meaning of the result code
 * @param status  HTTP status
 * @param detail  description of this occurrence
 * @param code    number of the result code
 * @param outcome whether the call ran, did not run, or may have run
 * @param advice  what the caller can do
 */
public record Problem(String type, String title, int status, String detail, int code, String outcome, String advice) {

    /** Media type of problem details. */
    private static final MediaType PROBLEM_JSON = MediaType.parse("application/problem+json");

    /** Value of the retry-after header, in seconds. */
    private static final String RETRY_AFTER_SECONDS = "1";

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Creates the problem details of a result code.
     *
     * @param code   the result code
     * @param detail description of this occurrence
     * @return the problem details
     */
    public static Problem of(ResultCode code, String detail) {
        return new Problem(
                "urn:mustardusher:code:" + code.number(),
                code.title(),
                code.status(),
                detail,
                code.number(),
                code.outcome().token(),
                code.advice());
    }

    private String toJson() {
        return JsonTree.write(JsonTree.object()
                .put("type", type)
                .put("title", title)
                .put("status", status)
                .put("detail", detail)
                .put("code", code)
                .put("outcome", outcome)
                .put("advice", advice));
    }

    /**
     * Creates the response for a result code.
     *
     * @param code   the result code
     * @param detail description of this occurrence
     * @return the response
     */
    public static HttpResponse response(ResultCode code, String detail) {
        return HttpResponse.of(
                headers(code).build(), HttpData.ofUtf8(of(code, detail).toJson()));
    }

    /**
     * Creates the response for a result code with the time after which its caller should return.
     *
     * @param code        the result code
     * @param detail      description of this occurrence
     * @param delayMillis shortest time, in milliseconds; negative if it is unknown
     * @return the response
     */
    public static HttpResponse response(ResultCode code, String detail, long delayMillis) {
        return delayMillis < 0
                ? response(code, detail)
                : response(code, detail).mapHeaders(headers -> headers.toBuilder()
                        .setLong(CallHeaders.RETRY_DELAY, delayMillis)
                        .build());
    }

    /**
     * Creates the response of a gate to the entry of a call that has no answer of the backend server. It has no text,
     * because the entry words the problem for its caller.
     *
     * @param code the result code
     * @param load value of the load header
     * @return the headers of the response
     */
    public static ResponseHeadersBuilder gateResponse(ResultCode code, String load) {
        return ResponseHeaders.builder(HttpStatus.valueOf(code.status()))
                .set(CallHeaders.OUTCOME, code.outcome().token())
                .set(CallHeaders.CODE, Integer.toString(code.number()))
                .set(CallHeaders.LOAD, load);
    }

    /**
     * Creates the response for a failure. A failure without a result code is reported as
     * {@link ResultCode#CONNECTION_LOST}.
     *
     * @param failure the failure
     * @return the response
     */
    public static HttpResponse response(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof MustardusherException coded) {
            ResponseHeadersBuilder headers = headers(coded.code());
            coded.retryAfterNanos().ifPresent(nanos -> setRetryAfter(headers, nanos));
            return HttpResponse.of(
                    headers.build(),
                    HttpData.ofUtf8(of(coded.code(), coded.getMessage()).toJson()));
        }
        return response(ResultCode.CONNECTION_LOST, "internal failure");
    }

    /**
     * Sets the time after which a refused call may be sent again: in whole seconds for callers, and exactly for the
     * protocols that allow fractions of a second.
     *
     * @param headers headers of the response
     * @param nanos   the time, in nanoseconds
     */
    public static void setRetryAfter(ResponseHeadersBuilder headers, long nanos) {
        long seconds = Math.max(1, (long) Math.ceil(nanos / NANOS_PER_SECOND));
        headers.set(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds));
        headers.set(CallHeaders.RETRY_AFTER, Timeout.format(nanos));
    }

    /**
     * Creates the headers of the response for a result code.
     *
     * @param code the result code
     * @return the headers
     */
    public static ResponseHeadersBuilder headers(ResultCode code) {
        ResponseHeadersBuilder headers = ResponseHeaders.builder(HttpStatus.valueOf(code.status()))
                .contentType(PROBLEM_JSON)
                .set(CallHeaders.OUTCOME, code.outcome().token())
                .set(CallHeaders.CODE, Integer.toString(code.number()));
        if (code.status() == HttpStatus.SERVICE_UNAVAILABLE.code()
                || code.status() == HttpStatus.TOO_MANY_REQUESTS.code()) {
            headers.set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        return headers;
    }
}
