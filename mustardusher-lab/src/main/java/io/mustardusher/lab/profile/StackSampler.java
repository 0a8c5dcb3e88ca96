package io.mustardusher.lab.profile;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Samples the stack of a thread and counts in which class of this project, and in which class of all, its time is
 * spent. Samples are taken at safepoints only, so that single methods of a tight loop are not told apart.
 */
final class StackSampler {

    private static final long INTERVAL_MILLIS = 2;
    private static final String PROJECT = "io.mustardusher.";

    /** Method in which an event loop sleeps; samples in it are not counted. */
    private static final String SLEEPING_METHOD = "epollWait";

    private static final int MAX_ROWS = 30;

    private final String threadName;
    private final Map<String, Integer> byProjectClass = new TreeMap<>();
    private final Map<String, Integer> byTopClass = new TreeMap<>();
    private int samples;

    /**
     * Creates a sampler that has not started.
     *
     * @param threadName start of the name of the thread
     */
    StackSampler(String threadName) {
        this.threadName = threadName;
    }

    /** Starts to sample, in a thread of its own. */
    void start() {
        Thread sampled = Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().startsWith(threadName))
                .findFirst()
                .orElseThrow();
        Thread sampler = new Thread(() -> run(sampled), "profile-sampler");
        sampler.setDaemon(true);
        sampler.start();
    }

    /**
     * Records a stack.
     *
     * @param stack frames, the innermost first
     */
    synchronized void record(StackTraceElement... stack) {
        if (stack.length == 0 || stack[0].getMethodName().startsWith(SLEEPING_METHOD)) {
            return;
        }
        samples++;
        byTopClass.merge(stack[0].getClassName(), 1, Integer::sum);
        for (StackTraceElement frame : stack) {
            if (frame.getClassName().startsWith(PROJECT)) {
                byProjectClass.merge(outerClass(frame.getClassName()) + "." + frame.getMethodName(), 1, Integer::sum);
                return;
            }
        }
        byProjectClass.merge("(none)", 1, Integer::sum);
    }

    /**
     * Prints the classes in which most time was spent.
     *
     * @param out receives the table
     */
    synchronized void print(PrintStream out) {
        if (samples == 0) {
            return;
        }
        out.printf("%d samples; innermost method of this project:%n", samples);
        print(out, byProjectClass);
        out.println("innermost class of all:");
        print(out, byTopClass);
    }

    private void print(PrintStream out, Map<String, Integer> counts) {
        counts.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                .limit(MAX_ROWS)
                .forEach(entry -> out.printf("  %5.1f%%  %s%n", 100.0 * entry.getValue() / samples, entry.getKey()));
    }

    private void run(Thread sampled) {
        try {
            while (sampled.isAlive()) {
                Thread.sleep(INTERVAL_MILLIS);
                record(sampled.getStackTrace());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String outerClass(String name) {
        int nested = name.indexOf('$');
        return nested < 0 ? name : name.substring(0, nested);
    }
}
