package io.mustardusher.entry;

import java.util.List;
import java.util.Optional;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.call.RunReport;
import io.mustardusher.log.DecisionLog;
import io.mustardusher.log.LogOutput;
import io.mustardusher.log.NodeLog;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

import static com.google.common.truth.Truth.assertThat;

class CallTraceTest {

    private static final String CALL = "MUSH2008: call call: repeatable to s; sent to ";

    private final Logger decisions = (Logger) LoggerFactory.getLogger(NodeLog.DECISION_LOGGER);
    private final ListAppender<ILoggingEvent> events = new ListAppender<>();
    private final Clock.Manual clock = new Clock.Manual();
    private final CallTrace trace = new CallTrace.ForLog(DecisionLog.INSTANCE, clock);

    @BeforeEach
    void start() {
        decisions.setLevel(Level.INFO);
        events.start();
        decisions.addAppender(events);
    }

    @AfterEach
    void stop() {
        decisions.detachAppender(events);
        decisions.setLevel(null);
    }

    @Test
    void tellsAttemptsInOrderAndWhereAnswerComesFrom() {
        trace.routed(RouterFixture.call(clock), true);
        attempt("node-1", 30).failed(2_012);
        CallTrace.Attempt second = attempt("node-2", 400);
        second.answered(200, RunReport.parse("7.3.1.cbf43926"));
        second.passOn();
        give(200, "123456789");
        trace.end(true);
        assertThat(lines())
                .containsExactly(
                        CALL + "node-1 2012 30 us, node-2 200 400 us; caller got 200 after 430 us, from node-2"
                                + " over connection 7, request 3, a response discarded, signature cbf43926, passed on cbf43926");
    }

    /** Guards against a line that hides that a caller got another answer than the gate received. */
    @Test
    void digestsSignatureAsCallerReceivesIt() {
        trace.routed(RouterFixture.call(clock), true);
        CallTrace.Attempt attempt = attempt("node-1", 0);
        attempt.answered(200, RunReport.parse("7.3.0.cbf43926"));
        attempt.passOn();
        give(200, "other");
        trace.end(true);
        assertThat(lines().get(0)).endsWith("signature cbf43926, passed on " + RunReport.digest(Optional.of("other")));
    }

    @Test
    void namesAttemptWhoseAnswerIsPassedOnLater() {
        trace.routed(RouterFixture.call(clock), true);
        CallTrace.Attempt first = attempt("node-1", 5);
        first.answered(500, Optional.empty());
        attempt("node-2", 5).failed(3_001);
        first.passOn();
        give(500, "s");
        trace.end(true);
        assertThat(lines().get(0))
                .contains("node-1 500 5 us, node-2 3001 5 us; caller got 500 after 10 us, from node-1");
    }

    @Test
    void tellsCallsWithoutAnswer() {
        trace.routed(RouterFixture.call(clock), false);
        trace.send("node-1");
        trace.end(false);
        assertThat(lines())
                .containsExactly("MUSH2008: call call: unrepeatable to s; sent to node-1 pending; caller got nothing"
                        + " after 0 us, from this node");
    }

    @Test
    void tellsResponsesThatBreakOff() {
        trace.routed(RouterFixture.call(clock), true);
        give(503, "s");
        trace.end(false);
        assertThat(lines()).containsExactly(CALL + "none; caller got 503 in part after 0 us, from this node");
    }

    @Test
    void boundsNumberOfAttempts() {
        trace.routed(RouterFixture.call(clock), true);
        for (int i = 0; i < 500; i++) {
            attempt("node-" + i, 0).failed(2_012);
        }
        trace.end(true);
        assertThat(lines().get(0)).contains("node-18 2012 0 us, 480 more, node-499 2012 0 us; caller got");
    }

    @Test
    void writesNothingForCallsThatAreNotRouted() {
        give(404, "s");
        trace.end(true);
        assertThat(lines()).isEmpty();
    }

    @Test
    void recordsNothingWhileDecisionsAreOff() {
        LogOutput.withoutDecisionLog(() -> assertThat(CallTrace.start(clock)).isSameInstanceAs(CallTrace.Off.INSTANCE));
    }

    /** Guards against reports of gates that reach callers. */
    @Test
    void entryWritesLineAndKeepsReportToItself() {
        CallerFixture fixture = new CallerFixture(new ManualTimers(), RequestLimits.DEFAULT);
        fixture.caller.send("GET /a HTTP/1.1\r\nHost: s\r\n" + CallHeaders.RUN + ": 9.9.1.ffffffff\r\n\r\n");
        assertThat(fixture.calls.get(0).headers.contains(CallHeaders.RUN)).isFalse();
        fixture.calls.get(0).answer();
        String received = fixture.caller.answers();
        assertThat(received).startsWith("HTTP/1.1 200 OK");
        assertThat(received).doesNotContainMatch("(?i)mustardusher-crash");
        List<String> ends =
                lines().stream().filter(line -> line.startsWith("MUSH2008")).toList();
        assertThat(ends).hasSize(1);
        assertThat(ends.get(0)).startsWith("MUSH2008: call /a: repeatable to s; sent to ");
        assertThat(ends.get(0)).contains("over connection 7, request 3, no response discarded, signature cbf43926");
    }

    private CallTrace.Attempt attempt(String node, long micros) {
        CallTrace.Attempt attempt = trace.send(node);
        clock.advanceMicros(micros);
        return attempt;
    }

    private void give(int status, String signature) {
        ResponseHeaders headers =
                ResponseHeaders.builder(status).set("signature", signature).build();
        trace.observe(HttpResponse.of(headers), new PlainProtocol(1_000, RequestLimits.DEFAULT))
                .aggregate()
                .join();
    }

    private List<String> lines() {
        return events.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }
}
