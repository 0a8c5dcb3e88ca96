package io.mustardusher.ctl;

import java.util.Optional;
import java.util.UUID;

import picocli.CommandLine.Option;

/** Options of every change. */
final class ChangeOptions {

    /** Revision that the entry must have; {@code null} for the one in force. */
    @Option(
            names = "--if-revision",
            paramLabel = "N",
            description = "Revision the entry must have, 0 if absent; by default the one in force now.")
    private Long ifRevision;

    /** Id of the change; {@code null} for a new one. */
    @Option(names = "--change", paramLabel = "ID", description = "Id of the change; made if not given.")
    private String change;

    /** Who makes the change. */
    @Option(
            names = "--author",
            paramLabel = "NAME",
            defaultValue = "${env:USER:-unnamed}",
            description = "Who makes the change.")
    private String author;

    /**
     * Returns the revision that the entry must have.
     *
     * @return the revision, or empty for the one in force
     */
    Optional<Long> ifRevision() {
        return Optional.ofNullable(ifRevision);
    }

    /**
     * Returns the id of the change.
     *
     * @return the id given, or a new one
     */
    String change() {
        return change == null ? UUID.randomUUID().toString() : change;
    }

    /**
     * Returns who makes the change.
     *
     * @return the name
     */
    String author() {
        return author;
    }
}
