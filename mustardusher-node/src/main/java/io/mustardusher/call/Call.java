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
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;

/**
 * A call as its headers describe it.
 *
 * @param entry         entry of its service
 * @param headers       headers as they came
 * @param owner         owner on whose behalf it comes
 * @param serviceClass  its class
 * @param deadlineNanos time by which the answer must begin, in nanoseconds of the clock
 * @param key           its key, if it has one
 * @param depth         services that the chain of calls has passed
 * @param resent        whether another entry sends it again
 * @param terms        what bounds the call beside the entry
 */
public record Call(
        CatalogueEntry entry,
        RequestHeaders headers,
        String owner,
        ServiceClass serviceClass,
        long deadlineNanos,
        Optional<IdempotencyKey> key,
        int depth,
        boolean resent,
        CallTerms terms) {

    /** Deepest chain of calls. */
    private static final int MAX_DEPTH = 64;

    /** Longest deadline, in nanoseconds. */
    private static final long MAX_DEADLINE_NANOS = 600_000 * Clock.NANOS_PER_MILLI;

    /** Urgency in the priority header. */
    private static final Pattern URGENCY = Pattern.compile("(?:^|[,\\s])u=([0-7])(?:$|[,;\\s])");

    /** Form of an owner's name. */
    private static final Pattern OWNER = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    /** Form of a small number. */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,4}");

    /**
     * Reads a call.
     *
     * @param headers   its headers
     * @param catalogue the catalogue in force
     * @param now       present time, in nanoseconds
     * @return the call
     * @throws MustardusherException if a header is missing or malformed, or the service is not known
     */
    public static Call read(RequestHeaders headers, Catalogue catalogue, long now) {
        CatalogueEntry entry = findEntry(headers, catalogue);
        int depth = number(headers, CallHeaders.DEPTH.toString());
        if (depth > MAX_DEPTH) {
            throw new MustardusherException(ResultCode.DEPTH_EXCEEDED, "depth " + depth);
        }
        return new Call(
                entry,
                headers,
                owner(headers, entry),
                serviceClass(headers, entry),
                now + timeoutNanos(headers, entry),
                key(headers),
                depth,
                number(headers, CallHeaders.ATTEMPT.toString()) > 1,
                CallTerms.NONE);
    }

    /**
     * Tells whether the call may run more than once.
     *
     * @return {@code true} if it may
     */
    public boolean isIdempotent() {
        return entry.idempotence().isIdempotent(headers.method().name());
    }

    /**
     * Returns the service.
     *
     * @return its name
     */
    public ServiceName service() {
        return entry.service();
    }

    /**
     * Writes the headers for another node.
     *
     * @param attempt     number of the send
     * @param leftNanos   time left, in nanoseconds
     * @param fingerprint hash over service, method, path and body
     * @return the headers
     */
    public RequestHeadersBuilder toNode(int attempt, long leftNanos, long fingerprint) {
        RequestHeadersBuilder next = CallHeaders.ofCaller(headers);
        next.set(CallHeaders.SERVICE, entry.service().value());
        next.set(CallHeaders.OWNER, owner);
        next.set(CallHeaders.CLASS, serviceClass.token());
        next.set(CallHeaders.DEPTH, Integer.toString(depth));
        next.set(CallHeaders.ATTEMPT, Integer.toString(resent ? Math.max(2, attempt) : attempt));
        next.set(CallHeaders.TIMEOUT, Timeout.format(leftNanos));
        next.set(CallHeaders.IDEMPOTENT, isIdempotent() ? "1" : "0");
        next.set(CallHeaders.FINGERPRINT, Long.toHexString(fingerprint));
        String authorization = headers.get(HttpHeaderNames.AUTHORIZATION);
        if (authorization != null) {
            next.set(ServerRequest.CALLER_AUTHORIZATION, authorization);
        }
        return next;
    }

    /**
     * Finds the entry of the called service: that of the service header, or of the first label of the host.
     *
     * @param headers   the headers
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
     * Returns the first label of a host.
     *
     * @param authority the authority, or {@code null}
     * @return the label; empty if there is none
     */
    private static String firstLabel(String authority) {
        if (authority == null) {
            return "";
        }
        int end = authority.indexOf('.');
        return end < 0 ? authority : authority.substring(0, end);
    }

    /**
     * Reads the owner.
     *
     * @param headers the headers
     * @param entry   entry of the service
     * @return the owner
     */
    private static String owner(RequestHeaders headers, CatalogueEntry entry) {
        String named = headers.get(CallHeaders.OWNER);
        if (named == null) {
            return entry.owner();
        }
        if (!OWNER.matcher(named).matches()) {
            throw malformed(CallHeaders.OWNER.toString());
        }
        return named;
    }

    /**
     * Reads the class: the service's, or a lower one that the caller asks for.
     *
     * @param headers the headers
     * @param entry   entry of the service
     * @return the class
     */
    private static ServiceClass serviceClass(RequestHeaders headers, CatalogueEntry entry) {
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
     * Reads the time left.
     *
     * @param headers the headers
     * @param entry   entry of the service
     * @return time in nanoseconds
     */
    private static long timeoutNanos(RequestHeaders headers, CatalogueEntry entry) {
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
        return Math.min(nanos.getAsLong(), MAX_DEADLINE_NANOS);
    }

    /**
     * Reads the key; quotes around it, as in structured headers, are removed.
     *
     * @param headers the headers
     * @return the key, or empty without one
     */
    private static Optional<IdempotencyKey> key(RequestHeaders headers) {
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
     * Reads a small number.
     *
     * @param headers the headers
     * @param name    name of the header
     * @return the number; 0 if the header is absent
     */
    private static int number(RequestHeaders headers, String name) {
        String text = headers.get(name);
        if (text == null) {
            return 0;
        }
        if (!NUMBER.matcher(text).matches()) {
            throw malformed(name);
        }
        return Integer.parseInt(text);
    }

    /**
     * Refuses a header.
     *
     * @param name its name
     * @return the exception
     */
    private static MustardusherException malformed(String name) {
        return new MustardusherException(ResultCode.HEADER_MALFORMED, "header " + name);
    }
}
