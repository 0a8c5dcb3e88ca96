package io.mustardusher.entry;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpRequestWriter;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.entry.CallerFixture.HeldCall;
import io.mustardusher.http.AnswerReader;
import io.mustardusher.http.AnswerReader.Answer;
import io.mustardusher.http.CallerChannel;
import io.mustardusher.route.RequestLimits;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class EntryOnListenerTest {

    private static final int STREAMED_BODY = 200_000;

    private final ManualTimers timers = new ManualTimers();

    /** Guards against a call that runs with an empty body after its caller has left in the middle of the body. */
    @Test
    void sendsNoCallWhoseBodyWasCutShort() {
        CallerFixture fixture = new CallerFixture(timers, RequestLimits.DEFAULT);
        cutShort(fixture.caller);
        assertThat(fixture.calls).isEmpty();
    }

    /** Guards against the rejection of a head that the operator allows. */
    @Test
    void acceptsHeadOfExactlyTheLimit() {
        String lines = "Host:s\r\nX-A:b\r\nX-Request-No:7\r\nX-Empty:\r\nX-Long:" + "v".repeat(500) + "\r\n";
        CallerFixture fixture = new CallerFixture(timers, new RequestLimits(lines.length(), 1, 0, 0));
        fixture.caller.send("GET /" + "p".repeat(200) + " HTTP/1.1\r\n" + lines + "\r\n");
        fixture.calls.forEach(HeldCall::answer);
        assertThat(statuses(fixture)).containsExactly(200);
    }

    @Test
    void rejectsHeadAboveTheLimit() {
        String lines = "Host:s\r\nX-Long:" + "v".repeat(500) + "\r\n";
        CallerFixture fixture = new CallerFixture(timers, new RequestLimits(lines.length() - 9, 1, 0, 0));
        fixture.caller.send("GET / HTTP/1.1\r\n" + lines + "\r\n");
        assertThat(statuses(fixture)).containsExactly(431);
        assertThat(fixture.calls).isEmpty();
    }

    /** Guards against blaming the caller for a body that did not arrive whole. */
    @Test
    void doesNotCallRequestMalformedWhoseBodyEndsEarly() {
        CallerFixture fixture = new CallerFixture(timers, RequestLimits.DEFAULT);
        HttpRequestWriter request = HttpRequest.streaming(
                RequestHeaders.builder(HttpMethod.POST, "/").contentLength(10).build());
        CompletableFuture<AggregatedHttpResponse> response = fixture.entry
                .handle(request, new OpenExchange(new EmbeddedChannel().eventLoop()))
                .aggregate();
        request.close(new IllegalStateException("lost"));
        assertThat(response.join().status().code()).isEqualTo(503);
        assertThat(fixture.calls).isEmpty();
    }

    @Test
    void answersBodyThatStallsUntilItsDeadlineAsNotRun() {
        CallerFixture fixture = new CallerFixture(timers, RequestLimits.DEFAULT);
        fixture.caller.send("POST /stalled HTTP/1.1\r\nHost: s\r\nContent-Length: 10\r\n\r\nabc");
        fixture.caller.pass(CallerFixture.TIMEOUT_MILLIS / 2);
        fixture.caller.pass(CallerFixture.TIMEOUT_MILLIS - 1);
        assertThat(statuses(fixture)).isEmpty();
        fixture.caller.pass(1);
        assertThat(statuses(fixture)).containsExactly(408);
        assertThat(fixture.calls).isEmpty();
    }

    /** Guards against a call that is never answered because its long body stalls on the way. */
    @Test
    void answersLongBodyThatStallsUntilItsDeadlineAsNotRun() {
        CallerFixture fixture = new CallerFixture(timers, RequestLimits.DEFAULT);
        fixture.caller.send("POST /stalled HTTP/1.1\r\nHost: s\r\nContent-Length: " + STREAMED_BODY + "\r\n\r\n");
        fixture.caller.send(new byte[STREAMED_BODY / 2]);
        fixture.caller.pass(CallerFixture.TIMEOUT_MILLIS - 1);
        assertThat(statuses(fixture)).isEmpty();
        fixture.caller.pass(1);
        assertThat(statuses(fixture)).containsExactly(408);
        assertThat(fixture.calls).isEmpty();
    }

    private static void cutShort(CallerChannel caller) {
        caller.send("POST /cut HTTP/1.1\r\nHost: s\r\nContent-Length: " + STREAMED_BODY + "\r\n\r\n");
        caller.send(new byte[STREAMED_BODY / 2]);
        caller.disconnect();
    }

    private static List<Integer> statuses(CallerFixture fixture) {
        return AnswerReader.read(fixture.caller.answers(), number -> false).stream()
                .map(Answer::status)
                .toList();
    }
}
