package io.mustardusher.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BatchWriterTest {

    private final LoggerContext context = new LoggerContext();

    BatchWriterTest() {
        context.setMDCAdapter(new LogbackMDCAdapter());
    }

    @Test
    void writesQueuedEventsInOrderWhenItStops() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        BatchWriter writer = writer(100, output);
        for (int i = 0; i < 50; i++) {
            writer.doAppend(event("event " + i));
        }
        writer.stop();
        String[] lines = output.toString(StandardCharsets.UTF_8).split("\n");
        assertThat(lines).hasLength(50);
        assertThat(lines[0]).endsWith("event 0");
        assertThat(lines[49]).endsWith("event 49");
    }

    /** A reader that does not read must not delay the threads that log. */
    @Test
    void dropsEventsInsteadOfWaitingForOutput() {
        CountDownLatch release = new CountDownLatch(1);
        AtomicInteger lines = new AtomicInteger();
        BatchWriter writer = writer(10, new OutputStream() {
            @Override
            public void write(int value) {
                throw new AssertionError("lines are written whole");
            }

            @Override
            public void write(byte[] bytes, int offset, int length) {
                try {
                    release.await();
                    String text = new String(bytes, offset, length, StandardCharsets.UTF_8);
                    lines.addAndGet((int) text.lines().count());
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        });
        for (int i = 0; i < 10_000; i++) {
            writer.doAppend(event("event " + i));
        }
        release.countDown();
        writer.stop();
        assertThat(lines.get()).isLessThan(100);
    }

    private BatchWriter writer(int capacity, OutputStream output) {
        BatchWriter writer = new BatchWriter(capacity, LineLayout.of("text"), output);
        writer.setContext(context);
        writer.start();
        return writer;
    }

    private LoggingEvent event(String message) {
        return new LoggingEvent("test", context.getLogger("io.mustardusher.test"), Level.INFO, message, null, null);
    }
}
