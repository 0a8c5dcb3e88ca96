package review;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Thread that moves the bytes of relays and owns their state. */
final class RelayLoop {

    /** Called when a channel is ready. */
    interface Handler {

        void ready(SelectionKey key) throws IOException;
    }

    private static final int TICK_MILLIS = 2;

    final Selector selector = Selector.open();

    /** Connections with bytes that are not forwarded yet. */
    final Set<Relay.Connection> waiting = new HashSet<>();

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

    RelayLoop() throws IOException {
        Fleet.daemon(() -> {
            while (true) {
                turn();
            }
        });
    }

    /** Runs a task on this thread. */
    void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    private void turn() throws IOException {
        selector.select(waiting.isEmpty() ? 50 : TICK_MILLIS);
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid()) {
                ((Handler) key.attachment()).ready(key);
            }
        }
        selector.selectedKeys().clear();
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        long now = System.nanoTime();
        for (Relay.Connection connection : waiting.toArray(new Relay.Connection[0])) {
            if (!connection.forward(now)) {
                waiting.remove(connection);
            }
        }
    }
}
