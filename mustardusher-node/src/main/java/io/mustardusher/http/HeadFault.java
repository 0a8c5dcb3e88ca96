package io.mustardusher.http;

import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/** Why a header block was rejected. */
final class HeadFault {

    /** Part of a message from which on it quotes the request. */
    private static final Pattern QUOTED_REQUEST = Pattern.compile("[:'\"(].*", Pattern.DOTALL);

    private HeadFault() {}

    /**
     * Returns the status with which the sender is told.
     *
     * @param failure failure of the decoder
     * @return the status
     */
    static HttpResponseStatus status(Throwable failure) {
        return failure instanceof TooLongHttpHeaderException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    /**
     * Describes the fault for the log, without the part of the message that quotes the request, which may contain a key
     * of a client account.
     *
     * @param failure failure of the decoder
     * @return the description
     */
    static String describe(Throwable failure) {
        String message = String.valueOf(failure.getMessage());
        return failure.getClass().getSimpleName() + " "
                + QUOTED_REQUEST.matcher(message).replaceFirst("");
    }
}
