package io.mustardusher.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import io.mustardusher.generated.LogSettings;
import org.slf4j.LoggerFactory;

/** Configures logging: events are written to standard output by a separate thread. */
public final class LogOutput {

    /** Maximum number of events that wait to be written; further ones are dropped rather than delay a call. */
    private static final int QUEUE_SIZE = 8_192;

    /** Name of the logger for routing and admission decisions. */
    private static final String DECISIONS = NodeLog.DECISION_LOGGER;

    private LogOutput() {}

    /**
     * Configures logging for this process.
     *
     * @param settings settings of the log
     */
    public static void configure(LogSettings settings) {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setContext(context);
        encoder.setLayout(LineLayout.of(settings.getFormat().value()));
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE_SIZE);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addAppender(console);
        queue.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(queue);
        root.setLevel(Level.WARN);
        context.getLogger("io.mustardusher")
                .setLevel(Level.toLevel(settings.getLevel().value()));
        Level decisions = settings.isDecisions() ? null : Level.OFF;
        context.getLogger(DECISIONS).setLevel(decisions);
    }

    /**
     * Runs an action while the logging of decisions is switched off in the whole process.
     *
     * @param action the action
     */
    public static void withoutDecisionLog(Runnable action) {
        Logger logger = ((LoggerContext) LoggerFactory.getILoggerFactory()).getLogger(DECISIONS);
        Level previous = logger.getLevel();
        logger.setLevel(Level.OFF);
        try {
            action.run();
        } finally {
            logger.setLevel(previous);
        }
    }

    /** Writes the events that are queued, and stops logging. */
    public static void close() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }
}
