package io.mustardusher.gate;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.BodyMemory;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.HeaderPacking;
import io.mustardusher.call.Problem;
import io.mustardusher.frame.CallMessage;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import io.netty.util.concurrent.EventExecutor;

/**
 * Serves the calls that entries of other nodes send to a gate in frames. It retains calls for some time after their
 * end, so that an entry whose connection was lost can fetch the response over another one. A call that is unknown when
 * the entry asks for it is recorded as not run and is not run if it arrives later. As long as both nodes are up, a call
 * is therefore either answered or not run.
 */
public final class FramedGate {

    /**
     * Time for which a call is retained after its end, in nanoseconds. An entry treats a call that this gate does not
     * know as not run only if it sent the call less than {@link #GUARANTEED_RETENTION_NANOS} ago.
     */
    private static final long RETENTION_NANOS = 5_000 * Clock.NANOS_PER_MILLI;

    /**
     * Time after sending for which a gate is guaranteed to retain a call, in nanoseconds: the retention time less one
     * second for transmission.
     */
    public static final long GUARANTEED_RETENTION_NANOS = RETENTION_NANOS - 1_000 * Clock.NANOS_PER_MILLI;

    /** Size of a part of a large response, in bytes. */
    public static final int PART_BYTES = LargeResponses.PART_BYTES;

    /** Beyond this many bytes, the oldest responses are evicted: less than a tenth of a node's heap. */
    private static final long MAX_RETAINED_BYTES = 6 << 20;

    /** Beyond this many, the oldest responses are evicted and only the numbers of their calls are retained. */
    private static final int MAX_RETAINED_RESPONSES = 600;

    private final Gate gate;
    private final HeaderPacking packing;
    private final long boot;
    private final EventExecutor loop;
    private final BodyMemory bodyMemory;
    private final Clock clock;
    private final LargeResponses largeResponses;
    private final Map<Long, RetainedCall> calls = new HashMap<>();

    /** Responses whose streams have not been opened, in the order of their arrival. */
    private final Map<Long, HeldStream> streams = new LinkedHashMap<>();

    /** Ended calls whose responses were evicted, ordered by end; all ended before those with responses. */
    private final Deque<RetainedCall> withoutResponse = new ArrayDeque<>();

    /** Ended calls with their responses, ordered by end. */
    private final Deque<RetainedCall> withResponse = new ArrayDeque<>();

    private final BodyMemory responseMemory;

    /** Memory of the responses that are retained, which others may take. */
    private BodyMemory.Share retainedMemory;

    /** Size of the bodies of the responses that are retained, in bytes, without the rest of large ones. */
    private long retainedBytes;

    /**
     * Creates a framed gate that retains no calls.
     *
     * @param gate    gate that handles the calls
     * @param packing encodes and decodes headers
     * @param boot    start time of the process, in milliseconds since the Unix epoch
     * @param loop    aggregates responses; the event loop that receives the frames, which avoids a change of thread
     * @param memory  memory for the bodies of requests
     * @param clock   source of time
     */
    public FramedGate(Gate gate, HeaderPacking packing, long boot, EventExecutor loop, BodyMemory memory, Clock clock) {
        this(gate, packing, boot, loop, memory, BodyMemory.ofNode(), clock);
    }

    /**
     * Creates a framed gate that retains no calls.
     *
     * @param gate      gate that handles the calls
     * @param packing   encodes and decodes headers
     * @param boot      start time of the process, in milliseconds since the Unix epoch
     * @param loop      aggregates responses; the event loop that receives the frames, which avoids a change of thread
     * @param memory    memory for the bodies of requests
     * @param responses memory for the responses that are kept
     * @param clock     source of time
     */
    public FramedGate(
            Gate gate,
            HeaderPacking packing,
            long boot,
            EventExecutor loop,
            BodyMemory memory,
            BodyMemory responses,
            Clock clock) {
        this.gate = gate;
        this.packing = packing;
        this.boot = boot;
        this.loop = loop;
        this.bodyMemory = memory;
        this.clock = clock;
        this.responseMemory = responses;
        this.retainedMemory = responses.open(this::evictResponses);
        this.largeResponses = new LargeResponses(responses, clock);
    }

    /**
     * Handles a call. A call that was received before is not run again.
     *
     * @param message the call
     * @return response to the call
     */
    public CompletableFuture<CallMessage> call(CallMessage message) {
        RetainedCall received = new RetainedCall(message.call());
        RetainedCall retained = retain(received);
        if (retained != received) {
            return retained.response;
        }
        RequestHeaders headers = packing.unpackRequest(message.head());
        BodyMemory.Share memory = bodyMemory.open();
        HttpResponse response = memory.reserve(message.body().length)
                ? gate.handle(HttpRequest.of(headers, HttpData.wrap(message.body())), received.cancelled)
                : gate.reject(ResultCode.BODY_MEMORY_EXHAUSTED, headers);
        response.subscribe(new FramedResponse(loop, new ResponseListener(received, memory)), loop);
        return received.response;
    }

    /**
     * Opens the stream of a response that is too long for frames.
     *
     * @param call number of the call
     * @return the response; a problem document if it is not kept
     */
    public HttpResponse openStream(long call) {
        HeldStream held;
        synchronized (this) {
            held = streams.remove(call);
        }
        return held == null
                ? Problem.response(ResultCode.CONNECTION_LOST, "the response is not kept")
                : held.response.open();
    }

    // A large response is kept, and the entry requests what follows its first part.
    private CallMessage reply(long call, AggregatedHttpResponse response) {
        byte[] body = response.content().array();
        if (body.length <= LargeResponses.MAX_WHOLE_BYTES) {
            return new CallMessage(call, packing.pack(response.headers()), body);
        }
        largeResponses.put(call, body);
        ResponseHeaders headers = response.headers().toBuilder()
                .set(CallHeaders.LENGTH, Integer.toString(body.length))
                .build();
        return new CallMessage(call, packing.pack(headers), Arrays.copyOf(body, PART_BYTES));
    }

    /**
     * Returns a part of a large response.
     *
     * @param request message with the number of the call and the position of the part
     * @return the part; without a body if the response is not kept
     */
    public CompletableFuture<CallMessage> part(CallMessage request) {
        byte[] part = largeResponses.part(request.call(), request.partOffset());
        return CompletableFuture.completedFuture(new CallMessage(request.call(), null, part));
    }

    /**
     * Returns the response to a call for an entry that lost the connection on which it sent the call.
     *
     * @param request message with the number of the call
     * @return response to the call; without headers if the call has not run and will not run
     */
    public CompletableFuture<CallMessage> resume(CallMessage request) {
        RetainedCall received = new RetainedCall(request.call());
        RetainedCall retained = retain(received);
        if (retained != received) {
            return retained.response;
        }
        end(received, CallMessage.notReceived(request.call(), boot));
        return received.response;
    }

    /**
     * Cancels a call, and drops what is kept of its response. Has no effect on an unknown call.
     *
     * @param message message with the number of the call
     * @return the same message, as an acknowledgement
     */
    public CompletableFuture<CallMessage> cancel(CallMessage message) {
        RetainedCall retained;
        synchronized (this) {
            retained = calls.get(message.call());
        }
        if (retained != null) {
            retained.cancel();
        }
        largeResponses.remove(message.call());
        HeldStream held;
        synchronized (this) {
            held = streams.remove(message.call());
        }
        if (held != null) {
            loop.execute(held.response::cancel);
        }
        return CompletableFuture.completedFuture(message);
    }

    // Returns the call that is retained under the same number, or the given one if there was none.
    private synchronized RetainedCall retain(RetainedCall received) {
        evictExpired();
        RetainedCall retained = calls.putIfAbsent(received.number, received);
        return retained == null ? received : retained;
    }

    private void end(RetainedCall call, CallMessage response) {
        synchronized (this) {
            call.endedNanos = clock.nanoTime();
            call.cancelled = null;
            withResponse.addLast(call);
            call.retainedBytes = response.body().length;
            retainedBytes += call.retainedBytes;
            boolean reserved = retainedMemory.reserve(call.retainedBytes);
            while (!withResponse.isEmpty()
                    && (!reserved
                            || withResponse.size() > MAX_RETAINED_RESPONSES
                            || retainedBytes > MAX_RETAINED_BYTES)) {
                evictOldestResponse();
                reserved = reserved || call.retainedBytes == 0 || retainedMemory.reserve(call.retainedBytes);
            }
        }
        // Completed outside the lock, because this runs the dependent stages of the response.
        call.response.complete(response);
    }

    private void evictOldestResponse() {
        RetainedCall oldest = withResponse.removeFirst();
        releaseResponse(oldest);
        oldest.response = CompletableFuture.completedFuture(responseUnavailable(oldest.number));
        withoutResponse.addLast(oldest);
    }

    // Others need the memory, which was taken from the share of this gate.
    private synchronized void evictResponses() {
        retainedMemory = responseMemory.open(this::evictResponses);
        while (!withResponse.isEmpty()) {
            evictOldestResponse();
        }
    }

    private void releaseResponse(RetainedCall call) {
        retainedMemory.release(call.retainedBytes);
        retainedBytes -= call.retainedBytes;
        call.retainedBytes = 0;
    }

    private CallMessage responseUnavailable(long call) {
        ResponseHeaders lost = Problem.headers(ResultCode.CONNECTION_LOST).build();
        return new CallMessage(call, packing.pack(lost), new byte[0]);
    }

    private void evictExpired() {
        long now = clock.nanoTime();
        Iterator<HeldStream> oldest = streams.values().iterator();
        while (oldest.hasNext()) {
            HeldStream held = oldest.next();
            if (now - held.beginNanos <= RETENTION_NANOS) {
                break;
            }
            oldest.remove();
            loop.execute(held.response::cancel);
        }
        for (Deque<RetainedCall> ended : List.of(withoutResponse, withResponse)) {
            while (!ended.isEmpty() && now - ended.peekFirst().endedNanos > RETENTION_NANOS) {
                RetainedCall expired = ended.removeFirst();
                releaseResponse(expired);
                calls.remove(expired.number);
            }
        }
    }

    /**
     * A response whose stream has not been opened.
     *
     * @param response   the response
     * @param beginNanos time at which it began, in nanoseconds
     */
    private record HeldStream(FramedResponse response, long beginNanos) {}

    /** Ends a call when its response is there. */
    private final class ResponseListener implements FramedResponse.Listener {

        private final RetainedCall call;
        private final BodyMemory.Share memory;

        ResponseListener(RetainedCall call, BodyMemory.Share memory) {
            this.call = call;
            this.memory = memory;
        }

        @Override
        public void onWhole(AggregatedHttpResponse response) {
            memory.release();
            end(call, reply(call.number, response));
        }

        @Override
        public void onStreamed(FramedResponse response) {
            memory.release();
            synchronized (FramedGate.this) {
                streams.put(call.number, new HeldStream(response, clock.nanoTime()));
            }
            end(call, new CallMessage(call.number, packing.pack(response.headers()), new byte[0]));
        }

        @Override
        public void onFailure() {
            memory.release();
            end(call, responseUnavailable(call.number));
        }
    }

    private static final class RetainedCall {

        private final long number;

        /** Completes if the call is cancelled; {@code null} after its end, because the stages hold the response. */
        private volatile CompletableFuture<Void> cancelled = new CompletableFuture<>();

        private volatile CompletableFuture<CallMessage> response = new CompletableFuture<>();
        private long endedNanos;
        private int retainedBytes;

        RetainedCall(long number) {
            this.number = number;
        }

        void cancel() {
            CompletableFuture<Void> open = cancelled;
            if (open != null) {
                open.complete(null);
            }
        }
    }
}
