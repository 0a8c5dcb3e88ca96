package io.mustardusher.log;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against repeated tasks that end for good with one failure. */
class LoggedTaskTest {

    private int runs;

    @Test
    void hidesExceptionFromExecutor() {
        runTwice(new IllegalStateException("expected by the test"));
    }

    @Test
    void hidesErrorFromExecutor() {
        runTwice(new StackOverflowError("expected by the test"));
    }

    private void runTwice(Throwable failure) {
        LoggedTask task = new LoggedTask("task", () -> {
            runs++;
            LoggedTaskTest.<RuntimeException>fail(failure);
        });
        task.run();
        task.run();
        assertThat(runs).isEqualTo(2);
    }

    @SuppressWarnings("unchecked")
    private static <T extends Throwable> void fail(Throwable failure) throws T {
        throw (T) failure;
    }
}
