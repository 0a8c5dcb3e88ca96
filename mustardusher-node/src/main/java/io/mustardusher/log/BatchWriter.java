package io.mustardusher.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.AppenderBase;
import ch.qos.logback.core.Layout;

/**
 * Writes events from a thread of its own, those of a tenth of a second at a time. While events keep coming, the threads
 * that log them neither wait nor wake another thread up. Events are dropped while too many wait, and those that cannot
 * be written are lost; a line tells how many.
 */
final class BatchWriter extends AppenderBase<ILoggingEvent> {

    /** Time between two batches, in milliseconds. */
    private static final long BATCH_INTERVAL_MILLIS = 100;

    /** Number of empty batches after which the thread sleeps until the next event. */
    private static final int EMPTY_BATCHES_UNTIL_SLEEP = 10;

    /** Maximum time that a stop waits for the last batch, in milliseconds. */
    private static final long STOP_TIMEOUT_MILLIS = 1_000;

    /** Memory that the events of a queue may take, in bytes. */
    private static final long MAX_QUEUED_BYTES = 2 << 20;

    /** Memory of an event without the characters of its message, in bytes. */
    private static final int EVENT_BYTES = 200;

    /** Memory of a stack frame of an event's exception, in bytes. */
    private static final int FRAME_BYTES = 150;

    /** Size from which formatted lines are written, in bytes. */
    private static final int CHUNK_BYTES = 64 << 10;

    /** Why an event is dropped that is not the fault of the output. */
    private static final String NO_ROOM = "too many wait to be written";

    private final BlockingQueue<ILoggingEvent> queue;
    private final Layout<ILoggingEvent> layout;
    private final OutputStream output;
    private final Thread writer = new Thread(this::run, "mushd-log");
    /** Events that are being written. Its capacity suffices for all that may be queued. */
    private final List<ILoggingEvent> batch;

    private final AtomicLong queuedBytes = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();

    /** Why an event was dropped last. */
    private volatile String dropCause = NO_ROOM;

    /** Number of events of the batch that are neither written nor counted as dropped. */
    private int unwritten;

    /** Number of dropped events that lines have told. Confined to the writing thread. */
    private long reportedDrops;

    /**
     * Creates a writer that is not started.
     *
     * @param capacity maximum number of events that wait to be written; further ones are dropped rather than delay a
     *     call
     * @param layout   formats events
     * @param output   receives the lines
     */
    BatchWriter(int capacity, Layout<ILoggingEvent> layout, OutputStream output) {
        this.queue = new ArrayBlockingQueue<>(capacity);
        this.batch = new ArrayList<>(capacity + 1);
        this.layout = layout;
        this.output = output;
        writer.setDaemon(true);
    }

    /**
     * Returns the number of events that were not written.
     *
     * @return number of events since the start
     */
    long dropped() {
        return dropped.get();
    }

    @Override
    public void start() {
        super.start();
        writer.start();
    }

    /** Writes the events that are queued, and stops. */
    @Override
    public void stop() {
        if (!isStarted()) {
            return;
        }
        super.stop();
        writer.interrupt();
        try {
            writer.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    protected void append(ILoggingEvent event) {
        event.prepareForDeferredProcessing();
        long bytes = bytesOf(event);
        if (queuedBytes.addAndGet(bytes) > MAX_QUEUED_BYTES || !queue.offer(event)) {
            queuedBytes.addAndGet(-bytes);
            recordDrop(1, NO_ROOM);
        }
    }

    private static long bytesOf(ILoggingEvent event) {
        long bytes = EVENT_BYTES + charBytes(event.getFormattedMessage());
        for (IThrowableProxy cause = event.getThrowableProxy(); cause != null; cause = cause.getCause()) {
            bytes += (long) FRAME_BYTES * cause.getStackTraceElementProxyArray().length + charBytes(cause.getMessage());
        }
        return bytes;
    }

    private static long charBytes(String text) {
        return text == null ? 0 : (long) Character.BYTES * text.length();
    }

    private void recordDrop(int events, String cause) {
        dropCause = cause;
        dropped.addAndGet(events);
    }

    private void run() {
        while (isStarted()) {
            try {
                batch.add(queue.take());
                writeUntilQuiet();
            } catch (InterruptedException e) {
                // Interrupted by stop; what is queued is still written.
            }
        }
        queue.drainTo(batch);
        writeBatch();
    }

    private void writeUntilQuiet() throws InterruptedException {
        for (int empty = 0; empty < EMPTY_BATCHES_UNTIL_SLEEP; ) {
            queue.drainTo(batch);
            empty = batch.isEmpty() ? empty + 1 : 0;
            writeBatch();
            TimeUnit.MILLISECONDS.sleep(BATCH_INTERVAL_MILLIS);
        }
    }

    // Nothing would be logged without the thread, so that no failure may end it.
    private void writeBatch() {
        try {
            if (!batch.isEmpty()) {
                writeLines();
            }
            reportDrops();
        } catch (RuntimeException | Error e) {
            recordDrop(unwritten, e.getClass().getName());
            unwritten = 0;
        }
    }

    private void writeLines() {
        unwritten = batch.size();
        try {
            ByteArrayOutputStream lines = new ByteArrayOutputStream();
            int formatted = 0;
            for (ILoggingEvent event : batch) {
                if (format(event, lines)) {
                    formatted++;
                } else {
                    unwritten--;
                }
                if (lines.size() >= CHUNK_BYTES) {
                    write(lines, formatted);
                    unwritten -= formatted;
                    formatted = 0;
                }
            }
            write(lines, formatted);
            unwritten = 0;
        } finally {
            queuedBytes.addAndGet(
                    -batch.stream().mapToLong(BatchWriter::bytesOf).sum());
            batch.clear();
        }
    }

    private boolean format(ILoggingEvent event, ByteArrayOutputStream lines) {
        try {
            lines.writeBytes(layout.doLayout(event).getBytes(StandardCharsets.UTF_8));
            return true;
        } catch (RuntimeException | Error e) {
            recordDrop(1, e.getClass().getName());
            return false;
        }
    }

    private void write(ByteArrayOutputStream lines, int events) {
        if (events == 0) {
            return;
        }
        try {
            lines.writeTo(output);
            output.flush();
        } catch (IOException e) {
            recordDrop(events, e.getClass().getName());
            addError("cannot write the log", e);
        }
        lines.reset();
    }

    // The line is written directly, since it would be dropped from a queue that is full again.
    private void reportDrops() {
        long total = dropped.get();
        Logger logger = ((LoggerContext) getContext()).getLogger(NodeLog.NODE_LOGGER);
        if (total == reportedDrops || !logger.isWarnEnabled()) {
            return;
        }
        String text = "MUSH1008: " + (total - reportedDrops) + " log events dropped: " + dropCause;
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        if (format(new LoggingEvent(BatchWriter.class.getName(), logger, Level.WARN, text, null, null), line)) {
            write(line, 1);
            reportedDrops = total;
        }
    }
}
