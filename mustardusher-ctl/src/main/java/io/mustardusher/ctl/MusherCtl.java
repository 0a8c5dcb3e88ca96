package io.mustardusher.ctl;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.QueryParams;
import io.mustardusher.schema.Schema;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Main class and root command of {@code musherctl}, the command line for operators. */
@Command(
        name = "musherctl",
        version = "musherctl 0.1.0",
        mixinStandardHelpOptions = true,
        description = "Inspects nodes and their routing, changes the catalogue and analyses node logs.",
        subcommands = {CatalogueCommand.class, CommandLine.HelpCommand.class},
        footerHeading = "%nExamples:%n",
        footer = {
            "  musherctl catalogue list",
            "  musherctl catalogue put clipserve.jsonc",
            "  musherctl catalogue status 0190f7a2-...",
            "  musherctl explain clipserve --output json",
            "  musherctl allowances --limit 20",
            "  musherctl evacuations",
            "  musherctl trace 9c41d07be2a35f68 logs/*.log",
            "  musherctl summary logs/*.log",
            "  musherctl profile logs/*.log"
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:success",
            "1:rejected; nothing changed",
            "2:invalid command line",
            "3:the outcome of a change is unknown; check it with 'musherctl catalogue status'",
            "4:no node answered"
        })
public final class MusherCtl {

    /** Base URLs of the admin listeners to query. */
    @Option(
            names = {"-n", "--node"},
            scope = CommandLine.ScopeType.INHERIT,
            split = ",",
            defaultValue = "${env:MUSHERCTL_NODES:-http://127.0.0.1:7403}",
            paramLabel = "URL",
            description = "Admin listeners, tried in order until one answers; or set MUSHERCTL_NODES.")
    private List<String> nodes;

    /** Shared secret sent to the nodes. */
    @Option(
            names = "--credential",
            scope = CommandLine.ScopeType.INHERIT,
            defaultValue = "${env:MUSHERCTL_CREDENTIAL:-}",
            paramLabel = "SECRET",
            description = "Shared secret of the nodes; or set MUSHERCTL_CREDENTIAL.")
    private String credential;

    /** Format in which responses are printed. */
    @Option(
            names = {"-o", "--output"},
            scope = CommandLine.ScopeType.INHERIT,
            defaultValue = "table",
            description = "${COMPLETION-CANDIDATES}; table by default.")
    private OutputFormat output;

    /** Command model that picocli injects. */
    @Spec
    private CommandSpec spec;

    /**
     * Creates the command line parser with its error handling.
     *
     * @return the command line, ready to execute
     */
    public static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new MusherCtl());
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionExceptionHandler((failure, command, result) -> {
            command.getErr().println("musherctl: " + failure.getMessage());
            return failure instanceof AdminClient.NoNodeAvailableException ? ExitStatus.NO_NODE : ExitStatus.REFUSED;
        });
        return commandLine;
    }

    /**
     * Runs the command and exits with its exit code.
     *
     * @param arguments command line arguments
     */
    public static void main(String[] arguments) {
        System.exit(commandLine().execute(arguments));
    }

    /**
     * Lists the members of the cluster.
     *
     * @return the exit code
     */
    @Command(name = "nodes", description = "Lists the nodes known to the queried node.")
    int nodes() {
        return fetchAndPrint(
                "/v1/nodes",
                "",
                List.of("/id", "/state", "/region", "/domain", "/service", "/serving", "/incarnation"));
    }

    /**
     * Lists the backend servers and their load.
     *
     * @return the exit code
     */
    @Command(name = "servers", description = "Lists the backend servers known to the queried node, with their load.")
    int servers() {
        return fetchAndPrint("/v1/servers", "", knownServerColumns());
    }

    /**
     * Lists the client accounts, and tells how recent the configuration is that they are part of.
     *
     * @return the exit code
     */
    @Command(
            name = "accounts",
            description = "Lists the client accounts in force at the queried node, with their limits.")
    int accounts() {
        AdminClient.Response response = adminClient().get("/v1/accounts");
        if (response.isSuccess() && output == OutputFormat.TABLE) {
            out().println(describeConfiguration(response.body()));
        }
        return print(
                response,
                output == OutputFormat.TABLE ? "accounts" : "",
                List.of("/account", "/priority", "/ratePerSecond", "/burst"));
    }

    /**
     * Lists the allowances of limited accounts.
     *
     * @param account name of the account, or {@code null} for those with the most calls
     * @param limit   maximum number of accounts
     * @return the exit code
     */
    @Command(
            name = "allowances",
            description = {
                "Shows what the queried node granted and refused to limited client accounts since its start,",
                "for the accounts with the most calls at that node."
            })
    int allowances(
            @Parameters(paramLabel = "ACCOUNT", arity = "0..1", description = "Name of a single account.")
                    String account,
            @Option(
                            names = "--limit",
                            paramLabel = "N",
                            defaultValue = "10",
                            description = "Maximum number of accounts; 10 by default.")
                    int limit) {
        QueryParams query =
                account == null ? QueryParams.of("limit", Integer.toString(limit)) : QueryParams.of("account", account);
        return fetchAndPrint(
                "/v1/allowances?" + query.toQueryString(),
                "",
                List.of(
                        "/account",
                        "/ratePerSecond",
                        "/burst",
                        "/granted",
                        "/refused",
                        "/unanswered",
                        "/coordinator",
                        "/heldShare"));
    }

    /**
     * Lists the evacuated failure domains.
     *
     * @return the exit code
     */
    @Command(name = "evacuations", description = "Lists the failure domains that the queried node evacuates.")
    int evacuations() {
        AdminClient.Response response = adminClient().get("/v1/evacuations");
        if (response.isSuccess() && output == OutputFormat.TABLE) {
            out().println("orders of version " + response.body().path("version").asLong() + " of the table service");
        }
        return print(response, output == OutputFormat.TABLE ? "domains" : "", List.of("/domain"));
    }

    /**
     * Shows how a node would route a call now.
     *
     * @param service name of the service
     * @return the exit code
     */
    @Command(
            name = "explain",
            description = "Shows the backend server a node would select now, and the figures behind it.")
    int explain(@Parameters(paramLabel = "SERVICE", description = "Name of the service.") String service) {
        AdminClient.Response response = adminClient().get("/v1/explain/" + service);
        if (response.isSuccess() && output == OutputFormat.TABLE) {
            out().println(response.body().path("policy").asText() + " chooses "
                    + response.body().path("choice").asText());
        }
        return print(response, output == OutputFormat.TABLE ? "servers" : "", serverColumns());
    }

    /**
     * Prints the events of one call from the logs of several nodes, and why it ended as it did.
     *
     * @param call  name of the call
     * @param files log files
     * @return the exit code
     */
    @Command(
            name = "trace",
            description = "Shows the events of one call from the logs of nodes, and why it ended as it did.")
    int trace(
            @Parameters(index = "0", paramLabel = "CALL", description = "Name of the call, as set by its caller.")
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
     * Prints statistics over the logs of several nodes.
     *
     * @param files log files
     * @return the exit code
     */
    @Command(name = "summary", description = "Counts the calls in the logs of nodes by outcome and cause.")
    int summary(@Parameters(arity = "1..*", paramLabel = "FILE", description = "Log of a node.") List<Path> files) {
        new LogSummary(LogLine.read(files)).print(out());
        return ExitStatus.OK;
    }

    /**
     * Prints where the time of answered calls went, from the logs of several nodes.
     *
     * @param files log files
     * @return the exit code
     */
    @Command(
            name = "profile",
            description = "Shows by service where the time of answered calls went, from the logs of their entries.")
    int profile(@Parameters(arity = "1..*", paramLabel = "FILE", description = "Log of a node.") List<Path> files) {
        CallProfile.of(LogLine.read(files)).print(out());
        return ExitStatus.OK;
    }

    /**
     * Creates a client for the nodes given on the command line.
     *
     * @return the client
     */
    AdminClient adminClient() {
        return new AdminClient(nodes, credential);
    }

    /**
     * Returns the writer for the output of commands.
     *
     * @return standard output, unless the command line sets another writer
     */
    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /**
     * Fetches a resource and prints it.
     *
     * @param path    path of the resource
     * @param field   field of the response that holds the rows; empty if the response itself holds them
     * @param columns JSON pointers of the columns
     * @return the exit code
     */
    int fetchAndPrint(String path, String field, List<String> columns) {
        return print(adminClient().get(path), field, columns);
    }

    /**
     * Prints a response, or its error if the request failed.
     *
     * @param response response of a node
     * @param field    field that holds the rows; empty if the response is an array or a single object
     * @param columns  JSON pointers of the columns
     * @return the exit code
     */
    int print(AdminClient.Response response, String field, List<String> columns) {
        if (!response.isSuccess()) {
            printError(response.body());
            return response.exitStatus();
        }
        JsonNode body = field.isEmpty() ? response.body() : response.body().path(field);
        boolean singleObject = output == OutputFormat.TABLE && body.isObject();
        JsonNode rows = singleObject ? Schema.mapper().createArrayNode().add(body) : body;
        output.print(rows, columns, out());
        return response.exitStatus();
    }

    /**
     * Prints the code, title, detail and advice of an error response.
     *
     * @param problem body of the response
     */
    private void printError(JsonNode problem) {
        PrintWriter err = spec.commandLine().getErr();
        err.println("musherctl: " + problem.path("code").asText("?") + " "
                + problem.path("title").asText("refused") + " "
                + problem.path("detail").asText(""));
        err.println("  " + problem.path("advice").asText(""));
    }

    /**
     * Describes the configuration that a list of accounts is part of.
     *
     * @param body the list, with its version and freshness
     * @return a line of text
     */
    private static String describeConfiguration(JsonNode body) {
        String line = "routes version " + body.path("version").asLong()
                + (body.path("enabled").asBoolean() ? ", keys required" : ", no keys required");
        if (body.path("unreadable").asInt() > 0) {
            line += ", " + body.path("unreadable").asInt() + " accounts unreadable";
        }
        JsonNode freshness = body.path("freshness");
        if (!freshness.isObject()) {
            return line;
        }
        if (freshness.path("ageMillis").asLong() < 0) {
            return line + ", keys refused until the version is known to be the newest";
        }
        return line + ", keys " + (freshness.path("acceptsKeys").asBoolean() ? "accepted" : "refused")
                + " at an age of " + freshness.path("ageMillis").asLong() + " ms of "
                + freshness.path("boundMillis").asLong() + " ms";
    }

    /**
     * Returns the columns for the backend servers that a node knows.
     *
     * @return JSON pointers of the columns; nodes with a catalogue state no failure domain and no coldness
     */
    private static List<String> knownServerColumns() {
        List<String> columns = new ArrayList<>(serverColumns());
        columns.addAll(List.of("/domain", "/evacuated", "/cold", "/coldCallsPerSecond", "/coldRefused"));
        return columns;
    }

    /**
     * Returns the columns for backend servers.
     *
     * @return JSON pointers of the columns
     */
    private static List<String> serverColumns() {
        return List.of(
                "/service", "/node", "/serving", "/ejected", "/failureRate", "/inFlight", "/busy", "/estimateMicros");
    }
}
