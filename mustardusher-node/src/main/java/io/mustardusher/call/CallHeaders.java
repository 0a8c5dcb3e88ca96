package io.mustardusher.call;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.netty.util.AsciiString;

/** Names of the headers that the system reads and writes. */
public final class CallHeaders {

    /** Service that is called. */
    public static final AsciiString SERVICE = AsciiString.cached("mustardusher-service");

    /** Owner on whose behalf the call comes. */
    public static final AsciiString OWNER = AsciiString.cached("mustardusher-owner");

    /** Number of services that the chain of calls has passed. */
    public static final AsciiString DEPTH = AsciiString.cached("mustardusher-depth");

    /** Number of the send. */
    public static final AsciiString ATTEMPT = AsciiString.cached("mustardusher-attempt");

    /** Time left for the call, in the form of gRPC. */
    public static final AsciiString TIMEOUT = AsciiString.cached("grpc-timeout");

    /** Key of a call that must not run twice, after the IETF draft of that name. */
    public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("idempotency-key");

    /** Urgency of the call, RFC 9218. */
    public static final AsciiString PRIORITY = AsciiString.cached("priority");

    /** What became of the call. */
    public static final AsciiString OUTCOME = AsciiString.cached("mustardusher-outcome");

    /** Number of the result code. */
    public static final AsciiString CODE = AsciiString.cached("mustardusher-code");

    /** Load of the answering gate. */
    public static final AsciiString LOAD = AsciiString.cached("mustardusher-load");

    /** Hash over service, method, path and body; between nodes. */
    public static final AsciiString FINGERPRINT = AsciiString.cached("mustardusher-fingerprint");

    /** Number of the crash in which the call was in flight; between nodes. */
    public static final AsciiString CRASH = AsciiString.cached("mustardusher-crash");

    /** Role in which the receiving node is addressed; between nodes. */
    public static final AsciiString ROLE = AsciiString.cached("mustardusher-role");

    /** Whether the call may run more than once, 1 or 0; between nodes. */
    public static final AsciiString IDEMPOTENT = AsciiString.cached("mustardusher-idempotent");

    /** Time left until the answer is late, in the form of gRPC; between nodes. */
    public static final AsciiString TARGET = AsciiString.cached("mustardusher-target");

    /** Present if the entry has other gates to ask; between nodes. */
    public static final AsciiString MOVABLE = AsciiString.cached("mustardusher-movable");

    /** Class of the call; between nodes. */
    public static final AsciiString CLASS = AsciiString.cached("mustardusher-class");

    /** Role of the home of a key. */
    public static final String ROLE_HOME = "home";

    /** Headers that concern one connection, RFC 9110, section 7.6.1. */
    private static final List<AsciiString> HOP_BY_HOP = List.of(
            HttpHeaderNames.CONNECTION,
            AsciiString.cached("keep-alive"),
            AsciiString.cached("proxy-connection"),
            HttpHeaderNames.TE,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            AsciiString.cached("http2-settings"),
            HttpHeaderNames.EXPECT);

    /** Headers that only nodes may set on requests. */
    private static final List<AsciiString> BETWEEN_NODES =
            List.of(FINGERPRINT, CRASH, ROLE, CLASS, IDEMPOTENT, TARGET, MOVABLE, HttpHeaderNames.AUTHORIZATION);

    /** Headers of the product's own interface to callers, which other interfaces do not pass on to a server. */
    private static final List<AsciiString> OWN_INTERFACE = List.of(SERVICE, OWNER, DEPTH, ATTEMPT, TIMEOUT);

    /** Headers of answers that only nodes may set. */
    private static final List<AsciiString> OF_ANSWERS = List.of(OUTCOME, CODE, LOAD, CRASH);

    private static final Set<AsciiString> NOT_OF_CALLERS = union(HOP_BY_HOP, BETWEEN_NODES);

    private static final Set<AsciiString> NOT_FOR_SERVERS = union(
            HOP_BY_HOP, BETWEEN_NODES, OWN_INTERFACE, List.of(AsciiString.of(ServerRequest.CALLER_AUTHORIZATION)));

    private static final Set<AsciiString> NOT_OF_SERVERS =
            union(HOP_BY_HOP, OF_ANSWERS, List.of(HttpHeaderNames.CONTENT_LENGTH));

    private CallHeaders() {}

    @SafeVarargs
    private static Set<AsciiString> union(List<AsciiString>... parts) {
        return Stream.of(parts).flatMap(List::stream).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Copies what a caller sent: without the headers that concern one connection or that nodes add.
     *
     * @param call headers of a request
     * @return the copy
     */
    static RequestHeadersBuilder ofCaller(RequestHeaders call) {
        return copy(call, NOT_OF_CALLERS);
    }

    /**
     * Copies what a caller sent without the headers of the product's own interface.
     *
     * @param call headers of a call at the gate
     * @return the copy
     */
    public static RequestHeadersBuilder forServer(RequestHeaders call) {
        RequestHeadersBuilder passed = copy(call, NOT_FOR_SERVERS);
        String authorization = call.get(ServerRequest.CALLER_AUTHORIZATION);
        if (authorization != null) {
            passed.set(HttpHeaderNames.AUTHORIZATION, authorization);
        }
        return passed;
    }

    /**
     * Tells whether a header of a server's answer concerns only the connection, or may be set by nodes only.
     *
     * @param name its name
     * @return {@code true} if it is not passed on
     */
    public static boolean isNotOfServers(CharSequence name) {
        return NOT_OF_SERVERS.contains(AsciiString.of(name));
    }

    private static RequestHeadersBuilder copy(RequestHeaders from, Set<AsciiString> without) {
        RequestHeadersBuilder copy = RequestHeaders.builder();
        from.forEach((name, value) -> {
            if (!without.contains(name)) {
                copy.add(name, value);
            }
        });
        return copy;
    }

    /**
     * Removes what concerns the last connection, and what only nodes may set, from an answer.
     *
     * @param headers the headers
     */
    public static void stripAnswer(ResponseHeadersBuilder headers) {
        HOP_BY_HOP.forEach(headers::remove);
        OF_ANSWERS.forEach(headers::remove);
    }
}
