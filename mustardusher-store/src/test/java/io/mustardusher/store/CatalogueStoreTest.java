package io.mustardusher.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.ChangeRecord;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class CatalogueStoreTest {

    private final TableService.InMemory table = new TableService.InMemory();
    private final FaultyTable faulty = new FaultyTable(table);
    private final CatalogueStore store = new CatalogueStore(faulty, new Clock.Manual());

    @Test
    void loadsAppliedChange() {
        ChangeRecord change = store.apply(put("change-1", 0, 100)).join();
        assertThat(change.getRevision()).isEqualTo(1);
        CatalogueDelta loaded = store.load().join();
        assertThat(loaded.getRevision()).isEqualTo(1);
        assertThat(loaded.getEntries().get(0).getEntry().getDeadlineMillis()).isEqualTo(100);
    }

    @Test
    void reportsCurrentEntryOnConflict() {
        store.apply(put("change-1", 0, 100)).join();
        MustardusherException conflict = failure(store.apply(put("change-2", 0, 200)));
        assertThat(conflict.code()).isEqualTo(ResultCode.VERSION_CONFLICT);
        assertThat(conflict).hasMessageThat().contains("\"deadlineMillis\":100");
    }

    @Test
    void acceptsOneOfTwoConcurrentChangesOfAnEntry() {
        faulty.beforeCommit = () -> {
            faulty.beforeCommit = () -> {};
            store.apply(put("change-2", 0, 200)).join();
        };
        MustardusherException conflict = failure(store.apply(put("change-1", 0, 100)));
        assertThat(conflict.code()).isEqualTo(ResultCode.VERSION_CONFLICT);
        assertThat(store.revision().join()).isEqualTo(1);
    }

    @Test
    void acceptsChangeWhenOnlyAnotherEntryChangedConcurrently() {
        faulty.beforeCommit = () -> {
            faulty.beforeCommit = () -> {};
            store.apply(change("change-2", "other", 0, 200)).join();
        };
        assertThat(store.apply(put("change-1", 0, 100)).join().getRevision()).isEqualTo(2);
    }

    @Test
    void appliesRepeatedChangeOnce() {
        store.apply(put("change-1", 0, 100)).join();
        assertThat(store.apply(put("change-1", 0, 100)).join().getRevision()).isEqualTo(1);
        assertThat(store.revision().join()).isEqualTo(1);
    }

    @Test
    void readsRecordBackWhenCommitResponseIsLost() {
        faulty.loseAnswers = true;
        assertThat(store.apply(put("change-1", 0, 100)).join().getRevision()).isEqualTo(1);
    }

    @Test
    void reportsUnresolvedChangeWhenReadBackFailsAndResolvesItLater() {
        faulty.loseAnswers = true;
        faulty.failReadsAfterCommit = true;
        assertThat(failure(store.apply(put("change-1", 0, 100))).code()).isEqualTo(ResultCode.CHANGE_UNRESOLVED);
        faulty.loseAnswers = false;
        faulty.failReads = false;
        CatalogueStore storeOfAnotherNode = new CatalogueStore(table, new Clock.Manual());
        assertThat(storeOfAnotherNode
                        .resolveChange("change-1")
                        .join()
                        .orElseThrow()
                        .getRevision())
                .isEqualTo(1);
    }

    @Test
    void doesNotCommitChangeThatWasVoided() {
        faulty.holdCommits = true;
        CompletableFuture<ChangeRecord> delayed = store.apply(put("change-1", 0, 100));
        CatalogueStore storeOfAnotherNode = new CatalogueStore(table, new Clock.Manual());
        assertThat(storeOfAnotherNode.resolveChange("change-1").join()).isEmpty();
        faulty.releaseCommits();
        assertThat(failure(delayed).code()).isEqualTo(ResultCode.CHANGE_NOT_FOUND);
        assertThat(storeOfAnotherNode.revision().join()).isEqualTo(0);
    }

    @Test
    void reportsUnavailableStoreWhenReadsFail() {
        faulty.failReads = true;
        assertThat(failure(store.apply(put("change-1", 0, 100))).code()).isEqualTo(ResultCode.STORE_UNAVAILABLE);
    }

    @Test
    void keepsRevisionOfRemovedEntry() {
        store.apply(put("change-1", 0, 100)).join();
        store.apply(new ChangeRequest("change-2", "clips", "author", 1, Optional.empty()))
                .join();
        assertThat(store.since(1).join().getEntries().get(0).getEntry()).isNull();
        assertThat(store.apply(put("change-3", 0, 300)).join().getRevision()).isEqualTo(3);
    }

    @Test
    void returnsHistoryInOrderOfRevisions() {
        for (int i = 0; i < 12; i++) {
            store.apply(put("change-" + i, i, 100 + i)).join();
        }
        List<Long> revisions = store.history(0, 100).join().stream()
                .map(ChangeRecord::getRevision)
                .toList();
        assertThat(revisions).isInStrictOrder();
        assertThat(revisions).hasSize(12);
    }

    private static ChangeRequest put(String change, long ifRevision, long deadline) {
        return change(change, "clips", ifRevision, deadline);
    }

    private static ChangeRequest change(String change, String service, long ifRevision, long deadline) {
        EntryDocument entry = new EntryDocument()
                .withService(service)
                .withOwner("owner")
                .withServiceClass(EntryDocument.ServiceClass.STANDARD)
                .withDeadlineMillis(deadline);
        return new ChangeRequest(change, service, "author", ifRevision, Optional.of(entry));
    }

    private static MustardusherException failure(CompletableFuture<?> future) {
        CompletionException failure = assertThrows(CompletionException.class, future::join);
        return (MustardusherException) failure.getCause();
    }

    /** Table service that fails reads, loses responses of commits or delays commits, as a test requires. */
    private static final class FaultyTable implements TableService {

        private final TableService.InMemory table;
        private final List<Runnable> heldCommits = new ArrayList<>();
        private Runnable beforeCommit = () -> {};
        private boolean loseAnswers;
        private boolean failReads;
        private boolean failReadsAfterCommit;
        private boolean holdCommits;

        FaultyTable(TableService.InMemory table) {
            this.table = table;
        }

        @Override
        public CompletableFuture<Optional<Row>> read(String key) {
            return failReads ? failed(ResultCode.STORE_UNAVAILABLE) : table.read(key);
        }

        @Override
        public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
            return failReads ? failed(ResultCode.STORE_UNAVAILABLE) : table.scan(prefix, after, limit);
        }

        @Override
        public CompletableFuture<Long> commit(Transaction transaction) {
            beforeCommit.run();
            if (holdCommits) {
                CompletableFuture<Long> version = new CompletableFuture<>();
                heldCommits.add(() -> version.complete(table.commit(transaction).join()));
                return version;
            }
            CompletableFuture<Long> version = table.commit(transaction);
            failReads |= failReadsAfterCommit;
            return loseAnswers ? failed(ResultCode.CHANGE_UNRESOLVED) : version;
        }

        void releaseCommits() {
            holdCommits = false;
            heldCommits.forEach(Runnable::run);
        }

        private static <T> CompletableFuture<T> failed(ResultCode code) {
            return CompletableFuture.failedFuture(new MustardusherException(code, "fault"));
        }
    }
}
