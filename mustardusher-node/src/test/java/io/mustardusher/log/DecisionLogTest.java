package io.mustardusher.log;

import java.lang.invoke.MethodHandles;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

import static com.google.common.truth.Truth.assertThat;

/** Compares the texts with those of the events that they replace. */
class DecisionLogTest {

    private static final String NAME = "io.mustardusher.test.decision";

    private final Logger output = (Logger) LoggerFactory.getLogger(NAME);
    private final ListAppender<ILoggingEvent> events = new ListAppender<>();
    private final DecisionLog decisions = new DecisionLog(org.jboss.logging.Logger.getLogger(NAME));
    private final NodeLog formatted =
            org.jboss.logging.Logger.getMessageLogger(MethodHandles.lookup(), NodeLog.class, NAME);

    @BeforeEach
    void start() {
        output.setLevel(Level.INFO);
        events.start();
        output.addAppender(events);
    }

    @AfterEach
    void stop() {
        output.detachAppender(events);
    }

    @Test
    void writesTextsOfTheNumberedEvents() {
        decisions.routed("c-1", "clips", "node-2", "least_cost", 3, 45_000, 6);
        formatted.routed("c-1", "clips", "node-2", "least_cost", 3, 45_000, 6);
        decisions.answered("c-1", "node-2", 200, 3, 45_000);
        formatted.answered("c-1", "node-2", 200, 3, 45_000);
        decisions.gateRefused("c-1", "clips", 2_002, 7, 8, 9);
        formatted.gateRefused("c-1", "clips", 2_002, 7, 8, 9);
        decisions.callEnded("c-1", "repeatable", "clips", "node-2 200 45000 us", "200", 45_000, "node-2");
        formatted.callEnded("c-1", "repeatable", "clips", "node-2 200 45000 us", "200", 45_000, "node-2");
        assertThat(events.list).hasSize(8);
        for (int i = 0; i < 8; i += 2) {
            assertThat(events.list.get(i).getFormattedMessage())
                    .isEqualTo(events.list.get(i + 1).getFormattedMessage());
        }
    }

    /** Names that callers give once went into the log whole, up to the size of a head. */
    @Test
    void cutsNamesOfCalls() {
        String call = "x".repeat(32_000);
        decisions.routed(call, "clips", "node-2", "least_cost", 3, 45_000, 6);
        decisions.answered(call, "node-2", 200, 3, 45_000);
        decisions.gateRefused(call, "clips", 2_002, 7, 8, 9);
        decisions.nestedCall(call, "clips", "route");
        assertThat(events.list).hasSize(4);
        events.list.forEach(
                event -> assertThat(event.getFormattedMessage().length()).isLessThan(400));
    }

    @Test
    void writesNothingWhileDecisionsAreOff() {
        output.setLevel(Level.OFF);
        decisions.answered("c-1", "node-2", 200, 3, 45_000);
        decisions.callEnded("c-1", "repeatable", "clips", "node-2 200 45000 us", "200", 45_000, "node-2");
        assertThat(decisions.isEnabled()).isFalse();
        assertThat(events.list).isEmpty();
    }
}
