package io.mustardusher.call;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.catalogue.CatalogueEntry;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.claim.IdempotencyKey;
import io.mustardusher.nested.RunningCall;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;

/**
 * A call as parsed from its request headers.
 *
 * @param entry         catalogue entry of the called service
 * @param headers       request headers as received
 * @param owner         owner on whose behalf the call is made
 * @param serviceClass  class of the call
 * @param deadlineNanos latest time for the headers of the answer to arrive, in nanoseconds of the clock
 * @param key           idempotency key, if the call has one
 * @param depth         number of services that the chain of calls has passed
 * @param retry         whether the call arrived as a retry, by the caller or by another entry
 * @param options       options of the call that do not come from the catalogue entry
 */
public record Call(
        CatalogueEntry entry,
        RequestHeaders headers,
        String owner,
        ServiceClass serviceClass,
        long deadlineNanos,
        Optional<IdempotencyKey> key,
        int depth,
        boolean retry,
        CallOptions options) {

    /** Maximum depth of a chain of calls. */
    private static final int MAX_DEPTH = 64;

    /** Longest timeout that a call can have, in nanoseconds. Longer ones are shortened to it. */
    private static final long MAX_TIMEOUT_NANOS = 600_000 * Clock.NANOS_PER_MILLI;

    /** Urgency parameter of the priority header. */
    private static final Pattern URGENCY = Pattern.compile("(?:^|[,\\s])u=([0-7])(?:$|[,;\\s])");

    /** Syntax of the name of an owner. */
    private static final Pattern OWNER_NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    /** Syntax of the numbers in the depth and attempt headers. */
    private static final Pattern SMALL_NUMBER = Pattern.compile("[0-9]{1,4}");

    /**
     * Parses a call from the headers of its request.
     *
     * @param headers   headers of the request
     * @param catalogue the catalogue in force
     * @param now       current time, in nanoseconds of the clock
     * @return the call
     * @throws MustardusherException if a header is missing or malformed, the service is not in the catalogue, the chain
     *                               of calls is too deep, or its deadline has passed
     */
    public static Call read(RequestHeaders headers, Catalogue catalogue, long now) {
        CatalogueEntry entry = findEntry(headers, catalogue);
        int depth = parseNumber(headers, CallHeaders.DEPTH.toString());
        if (depth > MAX_DEPTH) {
            throw new MustardusherException(ResultCode.DEPTH_EXCEEDED, "depth " + depth);
        }
        return new Call(
                entry,
                headers,
                parseOwner(headers, entry),
                parseServiceClass(headers, entry),
                now + parseTimeoutNanos(headers, entry),
                parseKey(headers),
                depth,
                parseNumber(headers, CallHeaders.ATTEMPT.toString()) > 1,
                CallOptions.NONE);
    }

    /**
     * Returns whether the call may run more than once.
     *
     * @return {@code true} if the call is idempotent
     */
    public boolean isIdempotent() {
        return entry.idempotence().isIdempotent(headers.method().name());
    }

    /**
     * Returns the called service.
     *
     * @return name of the service
     */
    public ServiceName service() {
        return entry.service();
    }

    /**
     * Returns this call as a nested call, with the class of the call that made it and the earlier of both deadlines.
     *
     * @param parent call that made this one
     * @return the nested call
     */
    public Call withParent(RunningCall parent) {
        return new Call(
                entry,
                headers,
                owner,
                parent.serviceClass(),
                Math.min(deadlineNanos, parent.deadlineNanos()),
                key,
                depth,
                retry,
                options.withParent(parent));
    }

    /**
     * Creates the request headers with which the call is sent to another node.
     *
     * @param attempt        number of the attempt
     * @param remainingNanos time until the deadline, in nanoseconds
     * @param fingerprint    hash of service, method, path and body
     * @return the headers
     */
    public RequestHeadersBuilder headersForNode(int attempt, long remainingNanos, long fingerprint) {
        RequestHeadersBuilder next = CallHeaders.copyFromCaller(headers);
        next.set(CallHeaders.SERVICE, entry.service().value());
        next.set(CallHeaders.OWNER, owner);
        next.set(CallHeaders.CLASS, serviceClass.token());
        next.set(CallHeaders.DEPTH, Integer.toString(depth));
        next.set(CallHeaders.ATTEMPT, Integer.toString(retry ? Math.max(2, attempt) : attempt));
        next.set(CallHeaders.TIMEOUT, Timeout.format(remainingNanos));
        next.set(CallHeaders.IDEMPOTENT, isIdempotent() ? "1" : "0");
        next.set(CallHeaders.FINGERPRINT, Long.toHexString(fingerprint));
        PrecedenceHeaders.write(options, next);
        String authorization = headers.get(HttpHeaderNames.AUTHORIZATION);
        if (authorization != null) {
            next.set(ServerRequest.CALLER_AUTHORIZATION, authorization);
        }
        return next;
    }

    /**
     * Finds the catalogue entry of the called service. The service is named by the service header or, without that
     * header, by the first label of the host.
     *
     * @param headers   headers of the request
     * @param catalogue the catalogue in force
     * @return the entry
     */
    private static CatalogueEntry findEntry(RequestHeaders headers, Catalogue catalogue) {
        String named = headers.get(CallHeaders.SERVICE);
        String name = named == null ? firstLabel(headers.authority()) : named;
        if (name.isEmpty()) {
            throw new MustardusherException(ResultCode.SERVICE_MISSING, "no " + CallHeaders.SERVICE + " header");
        }
        CatalogueEntry entry = catalogue.find(ServiceName.of(name));
        if (entry != null) {
            return entry;
        }
        ResultCode code = named == null ? ResultCode.SERVICE_MISSING : ResultCode.SERVICE_UNKNOWN;
        throw new MustardusherException(code, "no entry for the named service");
    }

    /**
     * Returns the part of an authority before the first dot.
     *
     * @param authority the authority, or {@code null}
     * @return the label; empty if there is no authority
     */
    private static String firstLabel(String authority) {
        if (authority == null) {
            return "";
        }
        int end = authority.indexOf('.');
        return end < 0 ? authority : authority.substring(0, end);
    }

    /**
     * Returns the owner named by the owner header or, without that header, the owner of the service.
     *
     * @param headers headers of the request
     * @param entry   catalogue entry of the service
     * @return the owner
     */
    private static String parseOwner(RequestHeaders headers, CatalogueEntry entry) {
        String named = headers.get(CallHeaders.OWNER);
        if (named == null) {
            return entry.owner();
        }
        if (!OWNER_NAME.matcher(named).matches()) {
            throw malformed(CallHeaders.OWNER.toString());
        }
        return named;
    }

    /**
     * Returns the class of the service, or a lower one if the caller requests it by the priority header.
     *
     * @param headers headers of the request
     * @param entry   catalogue entry of the service
     * @return the class
     */
    private static ServiceClass parseServiceClass(RequestHeaders headers, CatalogueEntry entry) {
        String priority = headers.get(CallHeaders.PRIORITY);
        if (priority == null) {
            return entry.serviceClass();
        }
        Matcher urgency = URGENCY.matcher(priority);
        if (!urgency.find()) {
            return entry.serviceClass();
        }
        return entry.serviceClass().orLower(ServiceClass.ofUrgency(Integer.parseInt(urgency.group(1))));
    }

    /**
     * Returns the time limit of the timeout header or, without that header, the default of the service.
     *
     * @param headers headers of the request
     * @param entry   catalogue entry of the service
     * @return time until the deadline, in nanoseconds
     */
    private static long parseTimeoutNanos(RequestHeaders headers, CatalogueEntry entry) {
        String text = headers.get(CallHeaders.TIMEOUT);
        if (text == null) {
            return entry.deadlineMillis() * Clock.NANOS_PER_MILLI;
        }
        OptionalLong nanos = Timeout.parse(text);
        if (nanos.isEmpty()) {
            throw malformed(CallHeaders.TIMEOUT.toString());
        }
        if (nanos.getAsLong() <= 0) {
            throw new MustardusherException(ResultCode.DEADLINE_EXPIRED, "no time left");
        }
        return Math.min(nanos.getAsLong(), MAX_TIMEOUT_NANOS);
    }

    /**
     * Parses the idempotency key, with or without the quotes of a structured field string.
     *
     * @param headers headers of the request
     * @return the key; empty if the header is absent
     */
    private static Optional<IdempotencyKey> parseKey(RequestHeaders headers) {
        String text = headers.get(CallHeaders.IDEMPOTENCY_KEY);
        if (text == null) {
            return Optional.empty();
        }
        boolean quoted = text.length() > 2 && text.startsWith("\"") && text.endsWith("\"");
        String bare = quoted ? text.substring(1, text.length() - 1) : text;
        if (!IdempotencyKey.isValid(bare)) {
            throw malformed(CallHeaders.IDEMPOTENCY_KEY.toString());
        }
        return Optional.of(new IdempotencyKey(bare));
    }

    /**
     * Parses a header that holds a number of one to four digits.
     *
     * @param headers headers of the request
     * @param name    name of the header
     * @return the number; 0 if the header is absent
     */
    private static int parseNumber(RequestHeaders headers, String name) {
        String text = headers.get(name);
        if (text == null) {
            return 0;
        }
        if (!SMALL_NUMBER.matcher(text).matches()) {
            throw malformed(name);
        }
        return Integer.parseInt(text);
    }

    /**
     * Creates the exception for a malformed header.
     *
     * @param name name of the header
     * @return the exception
     */
    private static MustardusherException malformed(String name) {
        return new MustardusherException(ResultCode.HEADER_MALFORMED, "header " + name);
    }
}
