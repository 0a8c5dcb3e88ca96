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

/** Names of the headers that nodes read and write, and the rules for which of them are passed on. */
public final class CallHeaders {

    /** Name of the called service. */
    public static final AsciiString SERVICE = AsciiString.cached("mustardusher-service");

    /** Owner on whose behalf the call is made. */
    public static final AsciiString OWNER = AsciiString.cached("mustardusher-owner");

    /** Number of services that the chain of calls has passed. */
    public static final AsciiString DEPTH = AsciiString.cached("mustardusher-depth");

    /** Number of the attempt; above 1 if the call was sent before. */
    public static final AsciiString ATTEMPT = AsciiString.cached("mustardusher-attempt");

    /** Time until the deadline of the call, in the format of gRPC. */
    public static final AsciiString TIMEOUT = AsciiString.cached("grpc-timeout");

    /** Idempotency key of a call that must not run twice, as in the IETF draft of that name. */
    public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("idempotency-key");

    /** Urgency of the call, as in RFC 9218. */
    public static final AsciiString PRIORITY = AsciiString.cached("priority");

    /** Outcome of the call: whether it ran, did not run, or may have run. */
    public static final AsciiString OUTCOME = AsciiString.cached("mustardusher-outcome");

    /** Number of the result code. */
    public static final AsciiString CODE = AsciiString.cached("mustardusher-code");

    /** Time after which a refused call may be sent again, in the format of gRPC; absent if it is not known. */
    public static final AsciiString RETRY_AFTER = AsciiString.cached("mustardusher-retry-after");

    /** Load of the gate that sends the answer. */
    public static final AsciiString LOAD = AsciiString.cached("mustardusher-load");

    /** Hash over service, method, path and body; only between nodes. */
    public static final AsciiString FINGERPRINT = AsciiString.cached("mustardusher-fingerprint");

    /** Id of the crash of a backend server during which the call was in flight; only between nodes. */
    public static final AsciiString CRASH = AsciiString.cached("mustardusher-crash");

    /**
     * {@link RunReport} about the run that an answer comes from; only between nodes. The name is that of
     * {@link #CRASH}, which nodes of all versions remove, and which no answer of a backend server has otherwise.
     */
    public static final AsciiString RUN = CRASH;

    /** Role in which the receiving node handles the call; only between nodes. */
    public static final AsciiString ROLE = AsciiString.cached("mustardusher-role");

    /** Whether the call may run more than once, 1 or 0; only between nodes. */
    public static final AsciiString IDEMPOTENT = AsciiString.cached("mustardusher-idempotent");

    /** Time until the target latency is exceeded, in the format of gRPC; only between nodes. */
    public static final AsciiString TARGET = AsciiString.cached("mustardusher-target");

    /** When the gate may return the call, see {@code Mobility}; only between nodes. */
    public static final AsciiString MOVABLE = AsciiString.cached("mustardusher-movable");

    /** Conditions that the backend server stated in an answer; only between nodes. */
    public static final AsciiString CONDITIONS = AsciiString.cached("mustardusher-conditions");

    /** Size of the whole response if only its first part follows, in bytes; only between nodes. */
    public static final AsciiString LENGTH = AsciiString.cached("mustardusher-length");

    /** Class of the call; only between nodes. */
    public static final AsciiString CLASS = AsciiString.cached("mustardusher-class");

    /** Name of the client account on whose behalf the call is made, percent-encoded; only between nodes. */
    public static final AsciiString ACCOUNT = AsciiString.cached("mustardusher-account");

    /** Present if a running request made the call; only between nodes. */
    public static final AsciiString NESTED = AsciiString.cached("mustardusher-nested");

    /** Priority of the call's route within its class, 0 is the highest and the default; only between nodes. */
    public static final AsciiString ROUTE_PRIORITY = AsciiString.cached("mustardusher-route-priority");

    /** Shortest time after which a refused caller should return, in milliseconds, to which a random part is added. */
    public static final AsciiString RETRY_DELAY = AsciiString.cached("mustardusher-retry-delay");

    /** Value of {@link #ROLE} for the home of an idempotency key. */
    public static final String ROLE_HOME = "home";

    /** Headers that apply to a single connection, RFC 9110, section 7.6.1. */
    /** Marks a response whose body goes on arriving, from gate to entry. */
    public static final AsciiString STREAMED = AsciiString.cached("mustardusher-streamed");

    /** Number of the call whose response is requested as a stream, from entry to gate. */
    public static final AsciiString STREAM = AsciiString.cached("mustardusher-stream");

    private static final List<AsciiString> HOP_BY_HOP = List.of(
            HttpHeaderNames.CONNECTION,
            AsciiString.cached("keep-alive"),
            AsciiString.cached("proxy-connection"),
            HttpHeaderNames.TE,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            AsciiString.cached("http2-settings"),
            HttpHeaderNames.EXPECT);

    /** Request headers that only nodes may set. */
    private static final List<AsciiString> NODE_REQUEST_HEADERS = List.of(
            FINGERPRINT,
            CRASH,
            ROLE,
            CLASS,
            IDEMPOTENT,
            TARGET,
            MOVABLE,
            CONDITIONS,
            ACCOUNT,
            NESTED,
            ROUTE_PRIORITY,
            STREAM,
            HttpHeaderNames.AUTHORIZATION,
            AsciiString.of(ServerRequest.CALLER_AUTHORIZATION));

    /** Request headers of the native protocol, which other protocols do not pass on to a backend server. */
    private static final List<AsciiString> NATIVE_PROTOCOL_HEADERS = List.of(SERVICE, OWNER, DEPTH, ATTEMPT, TIMEOUT);

    /** Response headers that only nodes may set. */
    private static final List<AsciiString> NODE_RESPONSE_HEADERS =
            List.of(OUTCOME, CODE, RETRY_AFTER, LOAD, CRASH, CONDITIONS, LENGTH, RETRY_DELAY, STREAMED);

    private static final Set<AsciiString> STRIPPED_FROM_CALLER_REQUESTS = union(HOP_BY_HOP, NODE_REQUEST_HEADERS);

    private static final Set<AsciiString> STRIPPED_FROM_SERVER_REQUESTS =
            union(HOP_BY_HOP, NODE_REQUEST_HEADERS, NATIVE_PROTOCOL_HEADERS);

    private static final Set<AsciiString> STRIPPED_FROM_SERVER_ANSWERS =
            union(HOP_BY_HOP, NODE_RESPONSE_HEADERS, List.of(HttpHeaderNames.CONTENT_LENGTH));

    private CallHeaders() {}

    @SafeVarargs
    private static Set<AsciiString> union(List<AsciiString>... lists) {
        return Stream.of(lists).flatMap(List::stream).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Copies the request headers of a caller, without those that apply to a single connection or that only nodes may
     * set.
     *
     * @param request headers of the request
     * @return the copy
     */
    static RequestHeadersBuilder copyFromCaller(RequestHeaders request) {
        return copy(request, STRIPPED_FROM_CALLER_REQUESTS);
    }

    /**
     * Copies the request headers of a caller for a backend server that does not use the native protocol. The copy has
     * the authorization header of the caller.
     *
     * @param request headers of the request at the gate
     * @return the copy
     */
    public static RequestHeadersBuilder copyForServer(RequestHeaders request) {
        RequestHeadersBuilder copy = copy(request, STRIPPED_FROM_SERVER_REQUESTS);
        String authorization = request.get(ServerRequest.CALLER_AUTHORIZATION);
        if (authorization != null) {
            copy.set(HttpHeaderNames.AUTHORIZATION, authorization);
        }
        return copy;
    }

    /**
     * Returns whether a header of a backend server's answer is not passed on because it applies to a single connection,
     * or because only nodes may set it.
     *
     * @param name name of the header
     * @return {@code true} if the header is not passed on
     */
    public static boolean isStrippedFromServerAnswer(CharSequence name) {
        return STRIPPED_FROM_SERVER_ANSWERS.contains(AsciiString.of(name));
    }

    private static RequestHeadersBuilder copy(RequestHeaders from, Set<AsciiString> excluded) {
        RequestHeadersBuilder copy = RequestHeaders.builder();
        from.forEach((name, value) -> {
            if (!excluded.contains(name)) {
                copy.add(name, value);
            }
        });
        return copy;
    }

    /**
     * Removes the headers that apply to a single connection or that only nodes may set from an answer.
     *
     * @param headers headers of the answer
     */
    public static void stripAnswer(ResponseHeadersBuilder headers) {
        HOP_BY_HOP.forEach(headers::remove);
        NODE_RESPONSE_HEADERS.forEach(headers::remove);
    }
}
