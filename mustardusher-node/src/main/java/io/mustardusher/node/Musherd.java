package io.mustardusher.node;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;

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

    @Option(
            names = {"-c", "--config"},
            required = true,
            paramLabel = "FILE",
            description = "Settings, JSON with comments.")
    private Path config;

    /** Settings that override the file and the environment, by path. */
    @Option(
            names = {"-s", "--set"},
            paramLabel = "PATH=VALUE",
            description = "Sets one setting, before file and environment (MUSHERD_...).")
    private Map<String, String> flags = new LinkedHashMap<>();

    /** Whether to validate the settings without starting the node. */
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
            return NodeLauncher.reportInvalidSettings(e);
        }
        if (check) {
            System.out.println("settings are valid");
            return ExitCode.OK;
        }
        LogOutput.configure(settings.getLog());
        Node node = new Node(settings);
        return NodeLauncher.run(node::start, node::stop);
    }
}
