package io.mustardusher.entry;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class InFlightCallsTest {

    @Test
    void countsCallUntilItsFirstEnd() {
        InFlightCalls calls = new InFlightCalls();
        Runnable first = calls.start();
        calls.start();
        assertThat(calls.count()).isEqualTo(2);
        first.run();
        first.run();
        assertThat(calls.count()).isEqualTo(1);
    }
}
