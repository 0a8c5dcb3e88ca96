package io.mustardusher.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.Layout;
import ch.qos.logback.core.LayoutBase;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class BatchWriterTest {

    /** Memory that waiting events may take. */
    private static final int MAX_WAITING_BYTES = 2 << 20;

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

    /** Waiting lines with names of 32 kB each once could take four times the memory of a node. */
    @Test
    void boundsMemoryOfEventsThatWait() {
        HeldOutput output = new HeldOutput();
        BatchWriter writer = writer(8_192, output);
        String name = "x".repeat(32_000);
        for (int i = 0; i < 1_000; i++) {
            writer.doAppend(event(name));
        }
        output.release();
        writer.stop();
        assertThat(output.bytes()).isGreaterThan(MAX_WAITING_BYTES / 4);
        assertThat(output.bytes()).isAtMost(2 * MAX_WAITING_BYTES);
    }

    @Test
    void boundsMemoryOfExceptionsThatWait() {
        HeldOutput output = new HeldOutput();
        BatchWriter writer = writer(8_192, output);
        Logger logger = context.getLogger("io.mustardusher.test");
        IllegalStateException failure = new IllegalStateException("x".repeat(32_000));
        for (int i = 0; i < 1_000; i++) {
            writer.doAppend(new LoggingEvent("test", logger, Level.WARN, "failed", failure, null));
        }
        output.release();
        writer.stop();
        assertThat(output.bytes()).isAtMost(2 * MAX_WAITING_BYTES);
        assertThat(writer.dropped()).isGreaterThan(900);
    }

    /** Dropped lines once left no trace, so that a log could not be told from one that is complete. */
    @Test
    void writesNumberOfDroppedEventsOnceThereIsRoom() {
        HeldOutput output = new HeldOutput();
        BatchWriter writer = writer(10, output);
        for (int i = 0; i < 1_000; i++) {
            writer.doAppend(event("event " + i));
        }
        output.release();
        writer.stop();
        List<String> lines = output.lines();
        List<String> events =
                lines.stream().filter(line -> line.contains(" event ")).toList();
        List<String> reports =
                lines.stream().filter(line -> line.contains("MUSH1008")).toList();
        assertThat(reports).hasSize(1);
        assertThat(reports.get(0)).contains(" WARN MUSH1008 " + (1_000 - events.size()) + " log events dropped");
        assertThat(writer.dropped()).isEqualTo(1_000 - events.size());
    }

    /** One line that could not be formatted once ended the thread, so that the node wrote nothing from then on. */
    @Test
    void goesOnAfterLayoutThrows() {
        goesOnAfter(() -> {
            throw new IllegalStateException("expected by the test");
        });
    }

    /** The thread of a node that had run out of memory once ended, so that the node wrote nothing from then on. */
    @Test
    void goesOnAfterLayoutRunsOutOfMemory() {
        goesOnAfter(() -> {
            throw new OutOfMemoryError("expected by the test");
        });
    }

    private void goesOnAfter(Runnable fault) {
        HeldOutput output = new HeldOutput();
        output.release();
        FaultyLayout layout = new FaultyLayout(fault);
        BatchWriter writer = writer(100, layout, output);
        writer.doAppend(event("event 1"));
        writer.doAppend(event("faulty"));
        layout.awaitFault();
        writer.doAppend(event("event 2"));
        writer.stop();
        List<String> lines = output.lines();
        assertThat(lines.get(0)).endsWith("event 1");
        assertThat(lines.stream().anyMatch(line -> line.endsWith("event 2"))).isTrue();
        assertThat(String.join("\n", lines)).contains("MUSH1008 1 log events dropped: java.lang.");
        assertThat(writer.dropped()).isEqualTo(1);
    }

    private BatchWriter writer(int capacity, OutputStream output) {
        return writer(capacity, LineLayout.of("text"), output);
    }

    private BatchWriter writer(int capacity, Layout<ILoggingEvent> layout, OutputStream output) {
        BatchWriter writer = new BatchWriter(capacity, layout, output);
        writer.setContext(context);
        writer.start();
        return writer;
    }

    private LoggingEvent event(String message) {
        return new LoggingEvent("test", context.getLogger("io.mustardusher.test"), Level.INFO, message, null, null);
    }

    /** Throws when it formats an event whose message is {@code faulty}. */
    private static final class FaultyLayout extends LayoutBase<ILoggingEvent> {

        private final Layout<ILoggingEvent> layout = LineLayout.of("text");
        private final Runnable fault;
        private final CountDownLatch reached = new CountDownLatch(1);

        FaultyLayout(Runnable fault) {
            this.fault = fault;
        }

        @Override
        public String doLayout(ILoggingEvent event) {
            if (event.getFormattedMessage().equals("faulty")) {
                reached.countDown();
                fault.run();
            }
            return layout.doLayout(event);
        }

        void awaitFault() {
            try {
                reached.await();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    /** Takes lines only after its release. */
    private static final class HeldOutput extends OutputStream {

        private final CountDownLatch released = new CountDownLatch(1);
        private final ByteArrayOutputStream received = new ByteArrayOutputStream();

        @Override
        public void write(int value) {
            throw new AssertionError("lines are written whole");
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            synchronized (this) {
                received.write(bytes, offset, length);
            }
        }

        void release() {
            released.countDown();
        }

        synchronized int bytes() {
            return received.size();
        }

        synchronized List<String> lines() {
            return received.toString(StandardCharsets.UTF_8).lines().toList();
        }
    }
}
