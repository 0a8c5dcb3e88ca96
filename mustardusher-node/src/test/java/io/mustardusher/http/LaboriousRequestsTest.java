package io.mustardusher.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.time.Clock;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.ImmediateEventExecutor;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against callers who keep the event loop busy with bodies that nobody wants, or with very small pieces. */
class LaboriousRequestsTest {

    private static final RequestLimits LIMITS = new RequestLimits(16 << 10, 200_000, 3_000, 15_000);
    private static final long TURN_MILLIS = 10;

    private final Clock.Manual clock = new Clock.Manual();
    private final List<HttpRequest> received = new ArrayList<>();
    private final List<CompletableFuture<HttpResponse>> responses = new ArrayList<>();
    private final CallerChannel caller = new CallerChannel(this::receive, () -> LIMITS, clock);

    @Test
    void longBodyIsHandedOverAtItsHead() {
        caller.send("POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 10000000000\r\n\r\n");
        assertThat(received).hasSize(1);
        responses.get(0).complete(HttpResponse.of(HttpStatus.REQUEST_ENTITY_TOO_LARGE));
        assertThat(caller.answers()).startsWith("HTTP/1.1 413 ");
        caller.send("x".repeat(1 << 20));
        assertThat(caller.isOpen()).isTrue();
        caller.send("x");
        assertThat(caller.isOpen()).isFalse();
    }

    @Test
    void chunksBeyondLimitFailRequest() {
        caller.send("POST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n");
        caller.send("186a0\r\n" + "x".repeat(100_000) + "\r\n186a0\r\n" + "x".repeat(99_999));
        HttpRequest request = received.get(0);
        CompletableFuture<?> body = request.aggregate(ImmediateEventExecutor.INSTANCE);
        assertThat(body.isDone()).isFalse();
        caller.send("x\r\n1\r\nx\r\n");
        CompletionException thrown = assertThrows(CompletionException.class, body::join);
        assertThat(((MustardusherException) thrown.getCause()).code()).isEqualTo(ResultCode.BODY_TOO_LARGE);
    }

    @Test
    void requestsThatArriveTogetherWaitBeyondThoseInFlight() {
        caller.send("GET / HTTP/1.1\r\nHost: s\r\n\r\n".repeat(100));
        assertThat(received).hasSize(HttpConnection.MAX_REQUESTS_IN_FLIGHT);
        for (int i = 0; i < 100; i++) {
            assertThat(received.size()).isEqualTo(Math.min(100, HttpConnection.MAX_REQUESTS_IN_FLIGHT + i));
            responses.get(i).complete(HttpResponse.of("answer " + i));
        }
        assertThat(caller.answers()).endsWith("answer 99");
        assertThat(caller.isReading()).isTrue();
    }

    @Test
    void waitingRequestsBeforeLastOneOfConnectionAreAnswered() {
        caller.send("GET / HTTP/1.1\r\nHost: s\r\n\r\n".repeat(29)
                + "GET / HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n");
        for (int i = 0; i < 30; i++) {
            responses.get(i).complete(HttpResponse.of("answer " + i));
        }
        assertThat(caller.answers()).endsWith("answer 29");
        assertThat(caller.isOpen()).isFalse();
    }

    @Test
    void turnsLeaveHalfOfTimeToOthers() {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.freezeTime();
        ReadTurns turns = new ReadTurns(channel.eventLoop(), clock);
        int[] reads = new int[2];
        for (int i = 0; i < reads.length; i++) {
            awaitTurn(turns, reads, i);
        }
        for (int millis = 0; millis < 100 * TURN_MILLIS; millis++) {
            clock.advanceMillis(1);
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
        assertThat(reads[0]).isIn(List.of(24, 25, 26));
        assertThat(reads[0] - reads[1]).isIn(List.of(0, 1));
    }

    // Each read takes the time of a turn, which passes here while the others wait.
    private void awaitTurn(ReadTurns turns, int[] reads, int reader) {
        turns.await(() -> {
            reads[reader]++;
            turns.charge(2 * TURN_MILLIS * Clock.NANOS_PER_MILLI);
            awaitTurn(turns, reads, reader);
        });
    }

    private HttpResponse receive(HttpRequest request, RequestExchange exchange) {
        received.add(request);
        responses.add(new CompletableFuture<>());
        return HttpResponse.of(responses.get(responses.size() - 1));
    }
}
