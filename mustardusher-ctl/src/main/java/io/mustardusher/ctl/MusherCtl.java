package io.mustardusher.ctl;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.mustardusher.schema.Schema;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Command line of the operators. */
@Command(
        name = "musherctl",
        version = "musherctl 0.1.0",
        mixinStandardHelpOptions = true,
        description = "Shows and changes what governs traffic.",
        subcommands = {CatalogueCommand.class, CommandLine.HelpCommand.class},
        footerHeading = "%nExamples:%n",
        footer = {
            "  musherctl catalogue list",
            "  musherctl catalogue put clipserve.jsonc",
            "  musherctl catalogue status 0190f7a2-...",
            "  musherctl explain clipserve --output json",
            "  musherctl trace 9c41d07be2a35f68 logs/*.log",
            "  musherctl summary logs/*.log"
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:refused; nothing changed",
            "2:the command line is wrong",
            "3:the outcome of a change is not known; ask 'musherctl catalogue status'",
            "4:no node answered"
        })
public final class MusherCtl {

    /** Nodes to ask. */
    @Option(
            names = {"-n", "--node"},
            scope = CommandLine.ScopeType.INHERIT,
            split = ",",
            defaultValue = "${env:MUSHERCTL_NODES:-http://127.0.0.1:7403}",
            paramLabel = "URL",
            description = "Admin listeners to try in turn; MUSHERCTL_NODES.")
    private List<String> nodes;

    /** Shared secret. */
    @Option(
            names = "--credential",
            scope = CommandLine.ScopeType.INHERIT,
            defaultValue = "${env:MUSHERCTL_CREDENTIAL:-}",
            paramLabel = "SECRET",
            description = "Shared secret; MUSHERCTL_CREDENTIAL.")
    private String credential;

    /** Form of answers. */
    @Option(
            names = {"-o", "--output"},
            scope = CommandLine.ScopeType.INHERIT,
            defaultValue = "table",
            description = "${COMPLETION-CANDIDATES}; table by default.")
    private Output output;

    /** Specification of the command. */
    @Spec
    private CommandSpec spec;

    /**
     * Creates the command line.
     *
     * @return the command line
     */
    public static CommandLine commandLine() {
        CommandLine line = new CommandLine(new MusherCtl());
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.setExecutionExceptionHandler((failure, command, result) -> {
            command.getErr().println("musherctl: " + failure.getMessage());
            return failure instanceof NodeApi.NoNodeException ? ExitStatus.NO_NODE : ExitStatus.REFUSED;
        });
        return line;
    }

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(commandLine().execute(arguments));
    }

    /**
     * Lists the nodes.
     *
     * @return the exit code
     */
    @Command(name = "nodes", description = "Lists the nodes as one node knows them.")
    int nodes() {
        return list(
                "/v1/nodes",
                "",
                List.of("/id", "/state", "/region", "/domain", "/service", "/serving", "/incarnation"));
    }

    /**
     * Lists the backend servers.
     *
     * @return the exit code
     */
    @Command(name = "servers", description = "Lists the backend servers and their load as one node sees them.")
    int servers() {
        return list("/v1/servers", "", serverColumns());
    }

    /**
     * Explains a choice.
     *
     * @param service name of the service
     * @return the exit code
     */
    @Command(name = "explain", description = "Tells what a node would choose now, and why.")
    int explain(@Parameters(paramLabel = "SERVICE", description = "Name of the service.") String service) {
        NodeApi.Answer answer = api().get("/v1/explain/" + service);
        if (answer.isDone() && output == Output.TABLE) {
            out().println(answer.body().path("policy").asText() + " chooses "
                    + answer.body().path("choice").asText());
        }
        return show(answer, output == Output.TABLE ? "servers" : "", serverColumns());
    }

    /**
     * Joins what the logs of several nodes tell of one call.
     *
     * @param call  name of the call
     * @param files log files
     * @return the exit code
     */
    @Command(name = "trace", description = "Shows what the logs of nodes tell of one call, and why it ended so.")
    int trace(
            @Parameters(index = "0", paramLabel = "CALL", description = "Name of the call, as its caller stated it.")
                    String call,
            @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = "Log of a node.")
                    List<Path> files) {
        Trace trace = Trace.of(call, LogLine.read(files));
        for (LogLine line : trace.lines()) {
            out().printf("%s  %-24s  MUSH%04d  %s%n", line.time(), line.node(), line.event(), line.text());
        }
        out().println("cause: " + trace.cause());
        return trace.lines().isEmpty() ? ExitStatus.REFUSED : ExitStatus.OK;
    }

    /**
     * Counts over the logs of several nodes.
     *
     * @param files log files
     * @return the exit code
     */
    @Command(name = "summary", description = "Counts how calls ended in the logs of nodes, and why.")
    int summary(@Parameters(arity = "1..*", paramLabel = "FILE", description = "Log of a node.") List<Path> files) {
        new LogSummary(LogLine.read(files)).print(out());
        return ExitStatus.OK;
    }

    /**
     * Returns the interface to the nodes.
     *
     * @return the interface
     */
    NodeApi api() {
        return new NodeApi(nodes, credential);
    }

    /**
     * Returns where to print.
     *
     * @return the writer
     */
    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /**
     * Asks for a list and prints it.
     *
     * @param path    path of the resource
     * @param field   field of the answer that holds the list; empty if the answer is the list
     * @param columns JSON pointers of the columns
     * @return the exit code
     */
    int list(String path, String field, List<String> columns) {
        return show(api().get(path), field, columns);
    }

    /**
     * Prints an answer.
     *
     * @param answer  the answer
     * @param field   field that holds the list; empty if the answer is the list or a single object
     * @param columns JSON pointers of the columns
     * @return the exit code
     */
    int show(NodeApi.Answer answer, String field, List<String> columns) {
        if (!answer.isDone()) {
            refusal(answer.body());
            return answer.exitStatus();
        }
        JsonNode body = field.isEmpty() ? answer.body() : answer.body().path(field);
        boolean wrapped = output == Output.TABLE && body.isObject();
        JsonNode rows = wrapped ? Schema.mapper().createArrayNode().add(body) : body;
        output.print(rows, columns, out());
        return answer.exitStatus();
    }

    /**
     * Prints a refusal with its code and what to do.
     *
     * @param problem the problem
     */
    private void refusal(JsonNode problem) {
        PrintWriter err = spec.commandLine().getErr();
        err.println("musherctl: " + problem.path("code").asText("?") + " "
                + problem.path("title").asText("refused") + " "
                + problem.path("detail").asText(""));
        err.println("  " + problem.path("advice").asText(""));
    }

    /**
     * Returns the columns of servers.
     *
     * @return JSON pointers
     */
    private static List<String> serverColumns() {
        return List.of(
                "/service", "/node", "/serving", "/ejected", "/failureRate", "/inFlight", "/busy", "/estimateMicros");
    }
}
