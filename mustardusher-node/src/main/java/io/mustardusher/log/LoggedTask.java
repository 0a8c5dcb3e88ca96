package io.mustardusher.log;

/**
 * A task whose failures are logged. An executor ends the repetition of a task that throws, without a trace, and some
 * failures are errors: input that exhausts the stack or the heap.
 *
 * @param name name of the task, for the log
 * @param task the task
 */
public record LoggedTask(String name, Runnable task) implements Runnable {

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            NodeLog.LOG.warn(name + " failed", e);
        }
    }
}
