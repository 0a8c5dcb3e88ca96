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

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import ch.qos.logback.core.Layout;

/**
 * Writes events from a thread of its own, those of a tenth of a second at a time. While events keep coming, the threads
 * that log them neither wait nor wake another thread up.
 */
final class BatchWriter extends AppenderBase<ILoggingEvent> {

    /** Time between two batches, in milliseconds. */
    private static final long BATCH_INTERVAL_MILLIS = 100;

    /** Number of empty batches after which the thread sleeps until the next event. */
    private static final int EMPTY_BATCHES_UNTIL_SLEEP = 10;

    /** Maximum time that a stop waits for the last batch, in milliseconds. */
    private static final long STOP_TIMEOUT_MILLIS = 1_000;

    private final BlockingQueue<ILoggingEvent> queue;
    private final Layout<ILoggingEvent> layout;
    private final OutputStream output;
    private final Thread writer = new Thread(this::run, "mushd-log");

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
        this.layout = layout;
        this.output = output;
        writer.setDaemon(true);
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
        queue.offer(event);
    }

    private void run() {
        List<ILoggingEvent> batch = new ArrayList<>();
        try {
            while (isStarted()) {
                batch.add(queue.take());
                writeUntilQuiet(batch);
            }
        } catch (InterruptedException e) {
            // Interrupted by stop; what is queued is still written.
        }
        queue.drainTo(batch);
        write(batch);
    }

    private void writeUntilQuiet(List<ILoggingEvent> batch) throws InterruptedException {
        for (int empty = 0; empty < EMPTY_BATCHES_UNTIL_SLEEP; ) {
            queue.drainTo(batch);
            empty = batch.isEmpty() ? empty + 1 : 0;
            write(batch);
            batch.clear();
            TimeUnit.MILLISECONDS.sleep(BATCH_INTERVAL_MILLIS);
        }
    }

    private void write(List<ILoggingEvent> batch) {
        if (batch.isEmpty()) {
            return;
        }
        ByteArrayOutputStream lines = new ByteArrayOutputStream();
        for (ILoggingEvent event : batch) {
            lines.writeBytes(layout.doLayout(event).getBytes(StandardCharsets.UTF_8));
        }
        try {
            lines.writeTo(output);
            output.flush();
        } catch (IOException e) {
            addError("cannot write the log", e);
        }
    }
}
