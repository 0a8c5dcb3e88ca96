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
import io.mustardusher.schema.Schema;

/**
 * A refusal or failure as callers see it, RFC 9457.
 *
 * @param type    names the code
 * @param title   its meaning
 * @param status  HTTP status
 * @param detail  what happened
 * @param code    number of the code
 * @param outcome what became of the call
 * @param advice  what the caller can do
 */
public record Problem(String type, String title, int status, String detail, int code, String outcome, String advice) {

    /** Media type of problems. */
    private static final MediaType PROBLEM_JSON = MediaType.parse("application/problem+json");

    /** Time after which a caller may come back, in seconds. */
    private static final String RETRY_AFTER_SECONDS = "1";

    /**
     * Creates a problem.
     *
     * @param code   the code
     * @param detail what happened
     * @return the problem
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

    /**
     * Writes an answer.
     *
     * @param code   the code
     * @param detail what happened
     * @return the answer
     */
    public static HttpResponse response(ResultCode code, String detail) {
        return HttpResponse.of(headers(code).build(), HttpData.ofUtf8(Schema.write(of(code, detail))));
    }

    /**
     * Writes an answer of a gate, with its load.
     *
     * @param code   the code
     * @param detail what happened
     * @param load   load in the form of the header
     * @return the answer
     */
    public static HttpResponse response(ResultCode code, String detail, String load) {
        ResponseHeaders headers = headers(code).set(CallHeaders.LOAD, load).build();
        return HttpResponse.of(headers, HttpData.ofUtf8(Schema.write(of(code, detail))));
    }

    /**
     * Writes an answer for a failure.
     *
     * @param failure the failure
     * @return the answer
     */
    public static HttpResponse response(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof MustardusherException coded) {
            return response(coded.code(), coded.getMessage());
        }
        return response(ResultCode.CONNECTION_LOST, "internal failure");
    }

    /**
     * Starts the headers of an answer.
     *
     * @param code the code
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
