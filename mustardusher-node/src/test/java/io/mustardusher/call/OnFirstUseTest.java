package io.mustardusher.call;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class OnFirstUseTest {

    private final AtomicInteger made = new AtomicInteger();
    private final OnFirstUse<Integer> value = new OnFirstUse<>(made::incrementAndGet);

    @Test
    void isNotMadeBeforeItIsAskedFor() {
        List<Integer> seen = new ArrayList<>();

        value.ifMade(seen::add);

        assertThat(seen).isEmpty();
        assertThat(made.get()).isEqualTo(0);
    }

    @Test
    void isMadeOnce() {
        assertThat(value.get()).isEqualTo(1);
        assertThat(value.get()).isEqualTo(1);
    }

    @Test
    void isHandedOnOnceItIsMade() {
        List<Integer> seen = new ArrayList<>();
        value.get();

        value.ifMade(seen::add);

        assertThat(seen).containsExactly(1);
    }
}
