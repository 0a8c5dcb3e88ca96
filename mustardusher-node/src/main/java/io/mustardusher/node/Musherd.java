package io.mustardusher.node;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import io.mustardusher.generated.LogSettings;
import io.mustardusher.generated.NodeSettings;
import io.mustardusher.log.LogOutput;
import io.mustardusher.result.MustardusherException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;

/** Command line of the node. */
@Command(
        name = "musherd",
        version = "musherd 0.1.0",
        mixinStandardHelpOptions = true,
        description = "Runs the node beside a backend server.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  musherd --config /etc/mustardusher/node.jsonc",
            "  musherd -c node.jsonc --set ports.caller=8080 --set log.format=json",
            "  MUSHERD_FAILURE_DOMAIN=halle-nord musherd -c node.jsonc"
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:stopped gracefully",
            "1:could not start, or cut off calls at the end of the grace time",
            "2:settings or flags are invalid; nothing was started"
        })
public final class Musherd implements Callable<Integer> {

    /** Settings file. */
    @Option(
            names = {"-c", "--config"},
            required = true,
            paramLabel = "FILE",
            description = "Settings, JSON with comments.")
    private Path config;

    /** Settings that go before the file and the environment. */
    @Option(
            names = {"-s", "--set"},
            paramLabel = "PATH=VALUE",
            description = "Sets one setting, before file and environment (MUSHERD_...).")
    private Map<String, String> flags = new LinkedHashMap<>();

    /** Whether to check the settings only. */
    @Option(names = "--check", description = "Checks the settings and ends.")
    private boolean check;

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Musherd()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        LogOutput.configure(new LogSettings());
        NodeSettings settings;
        try {
            settings = SettingsFile.read(config, System.getenv(), flags);
        } catch (MustardusherException e) {
            for (String fault : e.getMessage().split("; ")) {
                System.err.println("musherd: " + e.code().number() + ": " + fault);
            }
            return ExitCode.USAGE;
        }
        if (check) {
            System.out.println("settings are valid");
            return ExitCode.OK;
        }
        LogOutput.configure(settings.getLog());
        return run(new Node(settings));
    }

    /**
     * Runs a node until the process is told to end.
     *
     * @param node the node
     * @return the exit code
     * @throws InterruptedException if the wait is interrupted
     */
    private static int run(Node node) throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            int cutOff = node.stop();
            LogOutput.close();
            ended.countDown();
            Runtime.getRuntime().halt(cutOff == 0 ? ExitCode.OK : ExitCode.SOFTWARE);
        }));
        try {
            node.start();
        } catch (RuntimeException e) {
            Throwable cause = e.getCause() == null ? e : e.getCause();
            System.err.println("musherd: could not start: " + cause.getMessage());
            return ExitCode.SOFTWARE;
        }
        ended.await();
        return ExitCode.OK;
    }
}
