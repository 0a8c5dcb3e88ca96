package io.mustardusher.store;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TableServiceTest {

    private final TableService.InMemory table = new TableService.InMemory();

    @Test
    void appliesNoWriteWhenConditionFails() {
        Transaction first = Transaction.builder().put("a", "1").put("b", "1").build();
        table.commit(first).join();
        Transaction second = Transaction.builder()
                .expect("a", 99)
                .put("a", "2")
                .put("b", "2")
                .build();
        assertThat(table.commit(second).join()).isEqualTo(Transaction.ABSENT);
        assertThat(table.read("b").join().orElseThrow().value()).isEqualTo("1");
    }

    @Test
    void doesNotReuseVersionAfterDeletion() {
        long first = table.commit(Transaction.builder().put("a", "1").build()).join();
        table.commit(Transaction.builder().delete("a").build()).join();
        long second = table.commit(Transaction.builder().put("a", "1").build()).join();
        assertThat(second).isGreaterThan(first);
    }

    @Test
    void scansRowsAfterKeyUpToLimit() {
        table.commit(Transaction.builder()
                        .put("p/1", "a")
                        .put("p/2", "b")
                        .put("p/3", "c")
                        .put("q/1", "d")
                        .build())
                .join();
        assertThat(table.scan("p/", "p/1", 10).join().stream().map(Row::key)).containsExactly("p/2", "p/3");
        assertThat(table.scan("p/", "", 2).join()).hasSize(2);
    }
}
