package io.mustardusher.catalogue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.generated.RevisedEntry;

/**
 * An immutable copy of the catalogue. Copies are merged entry by entry, and the higher revision wins. The result
 * therefore does not depend on the order in which changes arrive, and no entry reverts to an earlier revision.
 */
public final class Catalogue {

    /** Empty catalogue, before its first change. */
    public static final Catalogue EMPTY = new Catalogue(0, Map.of());

    /** Revision up to which this catalogue contains every change. */
    private final long revision;

    /** Entries by service, including removed ones. */
    private final Map<ServiceName, VersionedEntry> entries;

    /**
     * Creates a catalogue.
     *
     * @param revision revision up to which every change is contained
     * @param entries  entries by service
     */
    private Catalogue(long revision, Map<ServiceName, VersionedEntry> entries) {
        this.revision = revision;
        this.entries = entries;
    }

    /**
     * Returns the revision up to which this catalogue contains every change.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }

    /**
     * Finds the entry of a service.
     *
     * @param service name of the service
     * @return the entry, or {@code null} if there is none
     */
    public CatalogueEntry find(ServiceName service) {
        VersionedEntry versioned = entries.get(service);
        return versioned == null ? null : versioned.entry;
    }

    /**
     * Finds the document of a service's entry with its revision.
     *
     * @param service name of the service
     * @return the revised entry, which has no document if it was removed, or empty if there never was one
     */
    public Optional<RevisedEntry> document(ServiceName service) {
        return Optional.ofNullable(entries.get(service)).map(versioned -> versioned.revised);
    }

    /**
     * Returns the documents of all entries, including removed ones.
     *
     * @return the entries
     */
    public List<RevisedEntry> documents() {
        return entries.values().stream().map(versioned -> versioned.revised).toList();
    }

    /**
     * Returns the changes after a revision.
     *
     * @param since the revision
     * @return the entries with a higher revision
     */
    public CatalogueDelta since(long since) {
        List<RevisedEntry> changes = new ArrayList<>();
        for (VersionedEntry versioned : entries.values()) {
            if (versioned.revised.getRevision() > since) {
                changes.add(versioned.revised);
            }
        }
        return new CatalogueDelta().withSince(since).withRevision(revision).withEntries(changes);
    }

    /**
     * Merges changes into a copy of this catalogue. Entries whose revision is not higher than the current one are
     * ignored. The revision of the catalogue only increases if the changes follow it without a gap.
     *
     * @param delta the changes
     * @return the merged catalogue, or this one if nothing changed
     */
    public Catalogue merge(CatalogueDelta delta) {
        Map<ServiceName, VersionedEntry> merged = mergeEntries(delta.getEntries());
        boolean contiguous = delta.getSince() <= revision;
        long mergedRevision = contiguous ? Math.max(revision, delta.getRevision()) : revision;
        if (merged == entries && mergedRevision == revision) {
            return this;
        }
        return new Catalogue(mergedRevision, merged);
    }

    /**
     * Merges entries into a copy of the current ones.
     *
     * @param changes the changed entries
     * @return the merged entries, or the current ones if nothing changed
     */
    private Map<ServiceName, VersionedEntry> mergeEntries(Collection<RevisedEntry> changes) {
        Map<ServiceName, VersionedEntry> merged = entries;
        for (RevisedEntry revised : changes) {
            ServiceName service = ServiceName.of(revised.getService());
            VersionedEntry current = merged.get(service);
            if (current != null && current.revised.getRevision() >= revised.getRevision()) {
                continue;
            }
            if (merged == entries) {
                merged = new HashMap<>(entries);
            }
            merged.put(service, VersionedEntry.of(revised));
        }
        return merged;
    }

    /**
     * The entry of one service as a document and in the form that nodes use.
     *
     * @param revised document of the entry with its revision
     * @param entry   the entry, or {@code null} if it was removed
     */
    private record VersionedEntry(RevisedEntry revised, CatalogueEntry entry) {

        /**
         * Creates a versioned entry from its document.
         *
         * @param revised document of the entry with its revision
         * @return the versioned entry
         */
        static VersionedEntry of(RevisedEntry revised) {
            EntryDocument document = revised.getEntry();
            return new VersionedEntry(revised, document == null ? null : CatalogueEntry.from(document));
        }
    }
}
