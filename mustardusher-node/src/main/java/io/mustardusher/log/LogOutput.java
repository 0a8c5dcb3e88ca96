package io.mustardusher.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import io.mustardusher.generated.LogSettings;
import org.slf4j.LoggerFactory;

/** Configures logging: events are written to standard output by a separate thread. */
public final class LogOutput {

    /** Maximum number of events that wait to be written; further ones are dropped rather than delay a call. */
    private static final int QUEUE_SIZE = 8_192;

    /** Name of the logger for routing and admission decisions. */
    private static final String DECISIONS = NodeLog.DECISION_LOGGER;

    /** Writes the events; {@code null} before the configuration. */
    private static volatile BatchWriter writer;

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
        BatchWriter created = new BatchWriter(
                QUEUE_SIZE, LineLayout.of(settings.getFormat().value()), new FileOutputStream(FileDescriptor.out));
        created.setContext(context);
        created.start();
        writer = created;
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(created);
        root.setLevel(Level.WARN);
        context.getLogger("io.mustardusher")
                .setLevel(Level.toLevel(settings.getLevel().value()));
        Level decisions = settings.isDecisions() ? null : Level.OFF;
        context.getLogger(DECISIONS).setLevel(decisions);
    }

    /**
     * Returns the number of events that were dropped because too many waited, or that could not be written.
     *
     * @return number of events since the configuration
     */
    public static long droppedEvents() {
        BatchWriter current = writer;
        return current == null ? 0 : current.dropped();
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
