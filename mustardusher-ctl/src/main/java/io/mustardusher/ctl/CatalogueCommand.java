package io.mustardusher.ctl;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.HttpMethod;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.schema.Schema;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;

/** The {@code catalogue} command, which shows and changes the entries of the catalogue. */
@Command(
        name = "catalogue",
        mixinStandardHelpOptions = true,
        description = "Shows and changes the catalogue.",
        footerHeading = "%nExamples:%n",
        footer = {
            "  musherctl catalogue get clipserve --output json",
            "  musherctl catalogue put clipserve.jsonc --if-revision 12",
            "  musherctl catalogue remove vault",
            "  musherctl catalogue watch --seconds 30"
        })
final class CatalogueCommand {

    /** JSON pointers of the columns for entries. */
    private static final List<String> ENTRY_COLUMNS =
            List.of("/service", "/revision", "/entry/owner", "/entry/class", "/entry/policy", "/entry/deadlineMillis");

    /** JSON pointers of the columns for changes. */
    private static final List<String> CHANGE_COLUMNS =
            List.of("/revision", "/service", "/change", "/author", "/acceptedAtMillis");

    /** Time between two polls of the {@code watch} command, in milliseconds. */
    private static final long WATCH_POLL_INTERVAL_MILLIS = 500;

    /** Root command, which holds the shared options. */
    @ParentCommand
    private MusherCtl parent;

    /**
     * Shows the entry of a service.
     *
     * @param service name of the service
     * @return the exit code
     */
    @Command(name = "get", description = "Shows the entry of a service that is in force at the queried node.")
    int get(@Parameters(paramLabel = "SERVICE", description = "Name of the service.") String service) {
        return parent.fetchAndPrint("/v1/catalogue/" + service, "", ENTRY_COLUMNS);
    }

    /**
     * Lists all entries.
     *
     * @return the exit code
     */
    @Command(name = "list", description = "Lists the entries in force at the queried node.")
    int list() {
        return parent.fetchAndPrint("/v1/catalogue", "entries", ENTRY_COLUMNS);
    }

    /**
     * Creates or replaces an entry.
     *
     * @param file    path of the file with the entry, or {@code -} for standard input
     * @param options options of the change
     * @return the exit code
     * @throws IOException if the file cannot be read
     */
    @Command(name = "put", description = "Creates or replaces an entry; rejected if another change was accepted first.")
    int put(
            @Parameters(paramLabel = "FILE", description = "Entry, JSON with comments; - for standard input.")
                    String file,
            @Mixin ChangeOptions options)
            throws IOException {
        String text = "-".equals(file)
                ? new String(System.in.readAllBytes(), StandardCharsets.UTF_8)
                : Files.readString(Path.of(file));
        EntryDocument entry;
        try {
            entry = Schema.ENTRY.read(text);
        } catch (MustardusherException e) {
            throw new IllegalArgumentException(e.code().number() + " " + e.getMessage(), e);
        }
        return submitChange(HttpMethod.PUT, entry.getService(), options, Schema.write(entry));
    }

    /**
     * Removes the entry of a service.
     *
     * @param service name of the service
     * @param options options of the change
     * @return the exit code
     */
    @Command(name = "remove", description = "Removes an entry; rejected if another change was accepted first.")
    int remove(
            @Parameters(paramLabel = "SERVICE", description = "Name of the service.") String service,
            @Mixin ChangeOptions options) {
        return submitChange(HttpMethod.DELETE, service, options, "");
    }

    /**
     * Lists accepted changes.
     *
     * @param since revision after which the list starts
     * @return the exit code
     */
    @Command(name = "history", description = "Lists accepted changes by ascending revision.")
    int history(
            @Option(
                            names = "--since",
                            paramLabel = "N",
                            defaultValue = "0",
                            description = "Revision after which the list starts.")
                    long since) {
        return parent.fetchAndPrint("/v1/history?since=" + since, "", CHANGE_COLUMNS);
    }

    /**
     * Shows whether a change was accepted, or how many nodes have each revision in force.
     *
     * @param change id of the change, or {@code null} for the revisions in force
     * @return the exit code
     */
    @Command(
            name = "status",
            description = {
                "Shows whether a change was accepted; if it was not, no change with this id is accepted later.",
                "Without an id: shows the number of nodes of each failure domain that have each revision in force."
            })
    int status(@Parameters(paramLabel = "CHANGE-ID", arity = "0..1", description = "Id of the change.") String change) {
        if (change != null) {
            return parent.fetchAndPrint("/v1/changes/" + change, "", CHANGE_COLUMNS);
        }
        return parent.fetchAndPrint("/v1/spread", "", List.of("/revision", "/nodesByRevision"));
    }

    /**
     * Prints changes as they come into force at a node.
     *
     * @param seconds how long to watch, in seconds
     * @return the exit code
     * @throws InterruptedException if the wait is interrupted
     */
    @Command(name = "watch", description = "Prints each changed entry when it comes into force at the queried node.")
    int watch(
            @Option(
                            names = "--seconds",
                            paramLabel = "N",
                            defaultValue = "3600",
                            description = "How long to watch, in seconds; an hour by default.")
                    long seconds)
            throws InterruptedException {
        long lastRevision = -1;
        long polls = seconds * 1000 / WATCH_POLL_INTERVAL_MILLIS;
        for (long i = 0; i < polls; i++) {
            JsonNode body = parent.adminClient().get("/v1/catalogue").body();
            long revision = body.path("revision").asLong();
            for (JsonNode entry : body.path("entries")) {
                if (lastRevision >= 0 && entry.path("revision").asLong() > lastRevision) {
                    parent.out().println(entry);
                }
            }
            if (revision != lastRevision) {
                parent.out().println("revision " + revision);
                parent.out().flush();
            }
            lastRevision = revision;
            TimeUnit.MILLISECONDS.sleep(WATCH_POLL_INTERVAL_MILLIS);
        }
        return ExitStatus.OK;
    }

    /**
     * Submits a change of an entry.
     *
     * @param method  HTTP method
     * @param service name of the service
     * @param options options of the change
     * @param body    JSON of the entry; empty to remove the entry
     * @return the exit code
     */
    private int submitChange(HttpMethod method, String service, ChangeOptions options, String body) {
        String id = options.changeId();
        long revision = options.ifRevision().orElseGet(() -> revisionInForce(service));
        Map<String, String> headers =
                Map.of("idempotency-key", id, "from", options.author(), "if-match", Long.toString(revision));
        AdminClient.Response response = parent.adminClient().send(method, "/v1/catalogue/" + service, headers, body);
        int exitStatus = parent.print(response, "", CHANGE_COLUMNS);
        if (exitStatus == ExitStatus.UNRESOLVED) {
            parent.out().println("ask: musherctl catalogue status " + id);
        }
        return exitStatus;
    }

    /**
     * Fetches the revision of the entry in force.
     *
     * @param service name of the service
     * @return the revision; 0 if there is no entry
     */
    private long revisionInForce(String service) {
        AdminClient.Response response = parent.adminClient().get("/v1/catalogue/" + service);
        return response.isSuccess() ? response.body().path("revision").asLong() : 0;
    }
}
