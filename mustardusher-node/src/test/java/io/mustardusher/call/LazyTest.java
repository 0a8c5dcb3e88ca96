package io.mustardusher.call;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class LazyTest {

    private final AtomicInteger created = new AtomicInteger();
    private final Lazy<Integer> value = new Lazy<>(created::incrementAndGet);

    @Test
    void isNotCreatedBeforeFirstAccess() {
        List<Integer> received = new ArrayList<>();

        value.ifCreated(received::add);

        assertThat(received).isEmpty();
        assertThat(created.get()).isEqualTo(0);
    }

    @Test
    void isCreatedOnce() {
        assertThat(value.get()).isEqualTo(1);
        assertThat(value.get()).isEqualTo(1);
    }

    @Test
    void passesCreatedValueToAction() {
        List<Integer> received = new ArrayList<>();
        value.get();

        value.ifCreated(received::add);

        assertThat(received).containsExactly(1);
    }
}
