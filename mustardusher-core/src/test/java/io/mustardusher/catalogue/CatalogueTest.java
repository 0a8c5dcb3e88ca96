package io.mustardusher.catalogue;

import java.util.List;

import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.generated.RevisedEntry;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CatalogueTest {

    private static final ServiceName CLIPS = ServiceName.of("clips");

    @Test
    void mergeKeepsHigherRevision() {
        Catalogue catalogue = Catalogue.EMPTY.merge(delta(0, 1, entry(1, 100))).merge(delta(1, 2, entry(2, 200)));
        assertThat(catalogue.find(CLIPS).deadlineMillis()).isEqualTo(200);
        assertThat(catalogue.revision()).isEqualTo(2);
    }

    @Test
    void mergeIgnoresLowerRevision() {
        Catalogue latest = Catalogue.EMPTY.merge(delta(0, 2, entry(2, 200)));
        assertThat(latest.merge(delta(0, 1, entry(1, 100)))).isSameInstanceAs(latest);
    }

    @Test
    void mergeIsIndependentOfOrderOfArrival() {
        CatalogueDelta first = delta(0, 1, entry(1, 100));
        CatalogueDelta second = delta(0, 2, entry(2, 200));
        Catalogue one = Catalogue.EMPTY.merge(first).merge(second);
        Catalogue other = Catalogue.EMPTY.merge(second).merge(first);
        assertThat(one.find(CLIPS)).isEqualTo(other.find(CLIPS));
        assertThat(one.revision()).isEqualTo(other.revision());
    }

    @Test
    void mergeOfLowerRevisionDoesNotRestoreRemovedEntry() {
        RevisedEntry removal = new RevisedEntry().withService("clips").withRevision(2);
        Catalogue catalogue = Catalogue.EMPTY.merge(delta(0, 2, removal)).merge(delta(0, 1, entry(1, 100)));
        assertThat(catalogue.find(CLIPS)).isNull();
    }

    @Test
    void mergeAcrossGapDoesNotRaiseRevision() {
        Catalogue catalogue = Catalogue.EMPTY.merge(delta(4, 5, entry(5, 500)));
        assertThat(catalogue.revision()).isEqualTo(0);
        assertThat(catalogue.find(CLIPS).deadlineMillis()).isEqualTo(500);
    }

    @Test
    void sinceReturnsOnlyEntriesWithHigherRevision() {
        Catalogue catalogue = Catalogue.EMPTY.merge(delta(0, 3, entry(3, 300)));
        assertThat(catalogue.since(3).getEntries()).isEmpty();
        assertThat(catalogue.since(2).getEntries()).hasSize(1);
    }

    private static CatalogueDelta delta(long since, long revision, RevisedEntry entry) {
        return new CatalogueDelta().withSince(since).withRevision(revision).withEntries(List.of(entry));
    }

    private static RevisedEntry entry(long revision, long deadline) {
        EntryDocument document = new EntryDocument()
                .withService("clips")
                .withOwner("owner")
                .withServiceClass(EntryDocument.ServiceClass.STANDARD)
                .withDeadlineMillis(deadline);
        return new RevisedEntry().withService("clips").withRevision(revision).withEntry(document);
    }
}
