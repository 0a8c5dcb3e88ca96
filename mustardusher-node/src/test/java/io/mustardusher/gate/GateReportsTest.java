package io.mustardusher.gate;

import java.util.List;
import java.util.Optional;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.codahale.metrics.MetricRegistry;
import io.mustardusher.log.NodeLog;
import io.mustardusher.server.DiscardedResponse;
import io.mustardusher.server.SyntaxFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

import static com.google.common.truth.Truth.assertThat;

class GateReportsTest {

    private final Logger decisions = (Logger) LoggerFactory.getLogger(NodeLog.DECISION_LOGGER);
    private final ListAppender<ILoggingEvent> events = new ListAppender<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private final GateReports reports = new GateReports(() -> null, metrics);

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

    /** Identifiers in responses once went into the log whole, up to the size of a head. */
    @Test
    void cutsIdentifiersInLines() {
        String id = "x".repeat(32_000);
        reports.onDiscardedResponse(new DiscardedResponse(Optional.of(id), 500, 7, Optional.of(id)));
        reports.onRepeatedRequest(id);
        List<String> lines =
                events.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
        assertThat(lines).hasSize(2);
        lines.forEach(line -> assertThat(line.length()).isLessThan(500));
    }

    /** A malformed response would otherwise be found in callers' complaints only. */
    @Test
    void namesFaultOfMalformedResponse() {
        Logger log = (Logger) LoggerFactory.getLogger(NodeLog.NODE_LOGGER);
        log.addAppender(events);
        try {
            reports.onMalformedResponse(SyntaxFault.FIELD_NAME);
        } finally {
            log.detachAppender(events);
        }
        assertThat(events.list.get(0).getFormattedMessage()).contains(SyntaxFault.FIELD_NAME.description());
        assertThat(metrics.counter("gate.malformedResponses.field_name").getCount())
                .isEqualTo(1);
    }
}
