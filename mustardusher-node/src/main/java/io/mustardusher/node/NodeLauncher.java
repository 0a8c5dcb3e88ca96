package io.mustardusher.node;

import java.util.concurrent.CountDownLatch;
import java.util.function.IntSupplier;

import io.mustardusher.log.LogOutput;
import io.mustardusher.result.MustardusherException;
import picocli.CommandLine.ExitCode;

/** Runs a node for the lifetime of the process and maps the result to an exit code. */
public final class NodeLauncher {

    private NodeLauncher() {}

    /**
     * Prints each problem with the settings on a line of its own.
     *
     * @param faults the problems, separated by semicolons
     * @return the exit code
     */
    public static int reportInvalidSettings(MustardusherException faults) {
        for (String fault : faults.getMessage().split("; ")) {
            System.err.println("musherd: " + faults.code().number() + ": " + fault);
        }
        return ExitCode.USAGE;
    }

    /**
     * Runs a node until the process is terminated.
     *
     * @param start starts the node
     * @param stop  stops it and returns the number of calls cut off
     * @return the exit code
     * @throws InterruptedException if the thread is interrupted while the node runs
     */
    public static int run(Runnable start, IntSupplier stop) throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            int cutOff = stop.getAsInt();
            LogOutput.close();
            ended.countDown();
            Runtime.getRuntime().halt(cutOff == 0 ? ExitCode.OK : ExitCode.SOFTWARE);
        }));
        try {
            start.run();
        } catch (RuntimeException e) {
            Throwable cause = e.getCause() == null ? e : e.getCause();
            System.err.println("musherd: could not start: " + cause.getMessage());
            return ExitCode.SOFTWARE;
        }
        ended.await();
        return ExitCode.OK;
    }
}
