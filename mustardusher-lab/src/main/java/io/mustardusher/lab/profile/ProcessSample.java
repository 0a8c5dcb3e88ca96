package io.mustardusher.lab.profile;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What processes have used since their start, as the kernel accounts for it.
 *
 * @param processorMillis processor time of all threads, also of those that have ended, in milliseconds
 * @param wakeUps         voluntary context switches, by thread: how often it went to sleep
 * @param residentBytes   resident memory, in bytes
 */
record ProcessSample(long processorMillis, Map<String, Long> wakeUps, long residentBytes) {

    /** The usage of no process. */
    static final ProcessSample NONE = new ProcessSample(0, Map.of(), 0);

    private static final String RESIDENT = "VmRSS:";
    private static final String WAKE_UPS = "voluntary_ctxt_switches:";
    private static final long BYTES_PER_KILOBYTE = 1024;

    /**
     * Reads the sample of a process.
     *
     * @param process the process
     * @return the sample
     * @throws UncheckedIOException if the process has ended
     */
    static ProcessSample of(ProcessHandle process) {
        Path folder = Path.of("/proc", Long.toString(process.pid()));
        try (Stream<Path> threads = Files.list(folder.resolve("task"))) {
            Map<String, Long> wakeUps = new HashMap<>();
            for (Path thread : threads.toList()) {
                wakeUps.put(thread.toString(), field(Files.readAllLines(thread.resolve("status")), WAKE_UPS));
            }
            long residentKilobytes = field(Files.readAllLines(folder.resolve("status")), RESIDENT);
            long processorMillis =
                    process.info().totalCpuDuration().orElse(Duration.ZERO).toMillis();
            return new ProcessSample(processorMillis, wakeUps, residentKilobytes * BYTES_PER_KILOBYTE);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the usage between an earlier sample and this one. Wake-ups of threads that have ended since are missing.
     *
     * @param earlier the earlier sample
     * @return the usage, with the resident memory of this sample
     */
    ProcessSample since(ProcessSample earlier) {
        Map<String, Long> difference = new HashMap<>();
        wakeUps.forEach((thread, count) -> difference.put(thread, count - earlier.wakeUps.getOrDefault(thread, 0L)));
        return new ProcessSample(processorMillis - earlier.processorMillis, difference, residentBytes);
    }

    /**
     * Adds the usage of other processes.
     *
     * @param other their usage
     * @return the sum
     */
    ProcessSample plus(ProcessSample other) {
        Map<String, Long> sum = new HashMap<>(wakeUps);
        sum.putAll(other.wakeUps);
        return new ProcessSample(processorMillis + other.processorMillis, sum, residentBytes + other.residentBytes);
    }

    /**
     * Returns the number of wake-ups of all threads.
     *
     * @return number of wake-ups
     */
    long totalWakeUps() {
        return wakeUps.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Reads a number from a status file.
     *
     * @param lines lines of the file
     * @param name  start of the line that holds the number
     * @return the number, or 0 if there is no such line
     */
    static long field(List<String> lines, String name) {
        return lines.stream()
                .filter(line -> line.startsWith(name))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }
}
