package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void add(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, format, arguments);
        out.printf(Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
    }

    @Override
    public void close() {
        out.close();
    }
}
