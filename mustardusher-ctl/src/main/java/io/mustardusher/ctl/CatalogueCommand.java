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

/** Shows and changes the catalogue. */
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

    /** Columns of entries. */
    private static final List<String> ENTRY_COLUMNS =
            List.of("/service", "/revision", "/entry/owner", "/entry/class", "/entry/policy", "/entry/deadlineMillis");

    /** Columns of changes. */
    private static final List<String> CHANGE_COLUMNS =
            List.of("/revision", "/service", "/change", "/author", "/acceptedAtMillis");

    /** Time between two looks while watching, in milliseconds. */
    private static final long WATCH_MILLIS = 500;

    /** The command above. */
    @ParentCommand
    private MusherCtl parent;

    /**
     * Shows an entry.
     *
     * @param service name of the service
     * @return the exit code
     */
    @Command(name = "get", description = "Shows the entry of a service as in force at the node.")
    int get(@Parameters(paramLabel = "SERVICE", description = "Name of the service.") String service) {
        return parent.list("/v1/catalogue/" + service, "", ENTRY_COLUMNS);
    }

    /**
     * Lists the entries.
     *
     * @return the exit code
     */
    @Command(name = "list", description = "Lists the entries in force at the node.")
    int list() {
        return parent.list("/v1/catalogue", "entries", ENTRY_COLUMNS);
    }

    /**
     * Writes an entry.
     *
     * @param file    file with the entry, or a dash
     * @param options options of the change
     * @return the exit code
     * @throws IOException if the file cannot be read
     */
    @Command(name = "put", description = "Writes an entry; refused if another change came first.")
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
        return change(HttpMethod.PUT, entry.getService(), options, Schema.write(entry));
    }

    /**
     * Removes an entry.
     *
     * @param service name of the service
     * @param options options of the change
     * @return the exit code
     */
    @Command(name = "remove", description = "Removes an entry; refused if another change came first.")
    int remove(
            @Parameters(paramLabel = "SERVICE", description = "Name of the service.") String service,
            @Mixin ChangeOptions options) {
        return change(HttpMethod.DELETE, service, options, "");
    }

    /**
     * Lists changes.
     *
     * @param since revision after which to start
     * @return the exit code
     */
    @Command(name = "history", description = "Lists accepted changes in order.")
    int history(
            @Option(names = "--since", paramLabel = "N", defaultValue = "0", description = "Revision to start after.")
                    long since) {
        return parent.list("/v1/history?since=" + since, "", CHANGE_COLUMNS);
    }

    /**
     * Tells the fate of a change, or where each revision is in force.
     *
     * @param change id of the change, or {@code null}
     * @return the exit code
     */
    @Command(
            name = "status",
            description = {
                "Settles whether a change was accepted: if not, it never will be under this id.",
                "Without an id: how many nodes of each failure domain have which revision in force."
            })
    int status(@Parameters(paramLabel = "CHANGE-ID", arity = "0..1", description = "Id of the change.") String change) {
        if (change != null) {
            return parent.list("/v1/changes/" + change, "", CHANGE_COLUMNS);
        }
        return parent.list("/v1/spread", "", List.of("/revision", "/nodesByRevision"));
    }

    /**
     * Watches changes come into force.
     *
     * @param seconds for how long
     * @return the exit code
     * @throws InterruptedException if the wait is interrupted
     */
    @Command(name = "watch", description = "Prints each change as the node takes it into force.")
    int watch(
            @Option(
                            names = "--seconds",
                            paramLabel = "N",
                            defaultValue = "3600",
                            description = "For how long; an hour by default.")
                    long seconds)
            throws InterruptedException {
        long seen = -1;
        long rounds = seconds * 1000 / WATCH_MILLIS;
        for (long i = 0; i < rounds; i++) {
            JsonNode body = parent.api().get("/v1/catalogue").body();
            long revision = body.path("revision").asLong();
            for (JsonNode entry : body.path("entries")) {
                if (seen >= 0 && entry.path("revision").asLong() > seen) {
                    parent.out().println(entry);
                }
            }
            if (revision != seen) {
                parent.out().println("revision " + revision);
                parent.out().flush();
            }
            seen = revision;
            TimeUnit.MILLISECONDS.sleep(WATCH_MILLIS);
        }
        return ExitStatus.OK;
    }

    /**
     * Makes a change.
     *
     * @param method  HTTP method
     * @param service name of the service
     * @param options options of the change
     * @param body    the entry, or nothing
     * @return the exit code
     */
    private int change(HttpMethod method, String service, ChangeOptions options, String body) {
        String id = options.change();
        long revision = options.ifRevision().orElseGet(() -> presentRevision(service));
        Map<String, String> headers =
                Map.of("idempotency-key", id, "from", options.author(), "if-match", Long.toString(revision));
        NodeApi.Answer answer = parent.api().send(method, "/v1/catalogue/" + service, headers, body);
        int exit = parent.show(answer, "", CHANGE_COLUMNS);
        if (exit == ExitStatus.UNRESOLVED) {
            parent.out().println("ask: musherctl catalogue status " + id);
        }
        return exit;
    }

    /**
     * Returns the revision of an entry in force.
     *
     * @param service name of the service
     * @return the revision; 0 if there is no entry
     */
    private long presentRevision(String service) {
        NodeApi.Answer answer = parent.api().get("/v1/catalogue/" + service);
        return answer.isDone() ? answer.body().path("revision").asLong() : 0;
    }
}
