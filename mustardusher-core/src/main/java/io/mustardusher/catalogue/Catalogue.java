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
 * An immutable copy of the catalogue. Copies merge by revision, entry by entry, so that the order in which changes
 * arrive does not matter and no entry ever goes back to an earlier revision.
 */
public final class Catalogue {

    /** The catalogue before its first change. */
    public static final Catalogue EMPTY = new Catalogue(0, Map.of());

    /** Revision up to which every change is contained. */
    private final long revision;

    /** Slots by service, removed entries included. */
    private final Map<ServiceName, Slot> slots;

    /**
     * Creates a catalogue.
     *
     * @param revision revision up to which every change is contained
     * @param slots    slots by service
     */
    private Catalogue(long revision, Map<ServiceName, Slot> slots) {
        this.revision = revision;
        this.slots = slots;
    }

    /**
     * Returns the revision up to which every change is contained.
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
        Slot slot = slots.get(service);
        return slot == null ? null : slot.entry;
    }

    /**
     * Finds the document of a service together with its revision.
     *
     * @param service name of the service
     * @return the revised entry, or empty if there is none
     */
    public Optional<RevisedEntry> document(ServiceName service) {
        return Optional.ofNullable(slots.get(service)).map(slot -> slot.revised);
    }

    /**
     * Returns every entry, removed ones included.
     *
     * @return the entries
     */
    public List<RevisedEntry> documents() {
        return slots.values().stream().map(slot -> slot.revised).toList();
    }

    /**
     * Returns what changed after a revision.
     *
     * @param since the revision
     * @return entries of a higher revision
     */
    public CatalogueDelta since(long since) {
        List<RevisedEntry> entries = new ArrayList<>();
        for (Slot slot : slots.values()) {
            if (slot.revised.getRevision() > since) {
                entries.add(slot.revised);
            }
        }
        return new CatalogueDelta().withSince(since).withRevision(revision).withEntries(entries);
    }

    /**
     * Merges changes into a copy of this catalogue. Lower revisions change nothing. The revision rises only where the
     * delta leaves no gap above this catalogue's.
     *
     * @param delta the changes
     * @return the merged catalogue, or this one if nothing is new
     */
    public Catalogue merge(CatalogueDelta delta) {
        Map<ServiceName, Slot> merged = mergeSlots(delta.getEntries());
        boolean gapless = delta.getSince() <= revision;
        long reached = gapless ? Math.max(revision, delta.getRevision()) : revision;
        if (merged == slots && reached == revision) {
            return this;
        }
        return new Catalogue(reached, merged);
    }

    /**
     * Merges entries into a copy of the slots.
     *
     * @param entries the entries
     * @return the merged slots, or the present ones if nothing is new
     */
    private Map<ServiceName, Slot> mergeSlots(Collection<RevisedEntry> entries) {
        Map<ServiceName, Slot> merged = slots;
        for (RevisedEntry revised : entries) {
            ServiceName service = ServiceName.of(revised.getService());
            Slot present = merged.get(service);
            if (present != null && present.revised.getRevision() >= revised.getRevision()) {
                continue;
            }
            if (merged == slots) {
                merged = new HashMap<>(slots);
            }
            merged.put(service, Slot.of(revised));
        }
        return merged;
    }

    /**
     * The state of one service.
     *
     * @param revised document with its revision
     * @param entry   the entry, or {@code null} if it was removed
     */
    private record Slot(RevisedEntry revised, CatalogueEntry entry) {

        /**
         * Creates a slot.
         *
         * @param revised document with its revision
         * @return the slot
         */
        static Slot of(RevisedEntry revised) {
            EntryDocument document = revised.getEntry();
            return new Slot(revised, document == null ? null : CatalogueEntry.from(document));
        }
    }
}
