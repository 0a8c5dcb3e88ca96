package io.mustardusher.node;

import java.util.concurrent.CountDownLatch;
import java.util.function.IntSupplier;

import io.mustardusher.log.LogOutput;
import io.mustardusher.result.MustardusherException;
import picocli.CommandLine.ExitCode;

/** The life of a node's process, from the start to the order to end. */
public final class ProcessLife {

    private ProcessLife() {}

    /**
     * Writes what is wrong with the settings, a line for each fault.
     *
     * @param faults the faults
     * @return the exit code
     */
    public static int refuse(MustardusherException faults) {
        for (String fault : faults.getMessage().split("; ")) {
            System.err.println("musherd: " + faults.code().number() + ": " + fault);
        }
        return ExitCode.USAGE;
    }

    /**
     * Runs a node until the process is told to end.
     *
     * @param start starts the node
     * @param stop  stops it; returns the calls that were cut off
     * @return the exit code
     * @throws InterruptedException if the wait is interrupted
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
