package io.mustardusher.ctl;

import java.util.Optional;
import java.util.UUID;

import picocli.CommandLine.Option;

/** Options shared by the commands that change a catalogue entry. */
final class ChangeOptions {

    /** Expected revision of the entry; {@code null} for the revision in force. */
    @Option(
            names = "--if-revision",
            paramLabel = "N",
            description = "Expected revision of the entry, 0 if it must not exist; by default the revision in force.")
    private Long ifRevision;

    /** Id of the change; {@code null} to generate one. */
    @Option(names = "--change", paramLabel = "ID", description = "Id of the change; generated if omitted.")
    private String changeId;

    /** Name recorded as the author of the change. */
    @Option(
            names = "--author",
            paramLabel = "NAME",
            defaultValue = "${env:USER:-unnamed}",
            description = "Name recorded as the author; the current user by default.")
    private String author;

    /**
     * Returns the revision that the entry must have for the change to be accepted.
     *
     * @return the expected revision, or empty for the revision in force
     */
    Optional<Long> ifRevision() {
        return Optional.ofNullable(ifRevision);
    }

    /**
     * Returns the id of the change. Without {@code --change}, every call generates another id.
     *
     * @return the id given on the command line, or a random one
     */
    String changeId() {
        return changeId == null ? UUID.randomUUID().toString() : changeId;
    }

    /**
     * Returns the author of the change.
     *
     * @return name of the author
     */
    String author() {
        return author;
    }
}
