package io.mustardusher.budget;

import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class TokenBucketTest {

    private final Clock.Manual clock = new Clock.Manual();

    @Test
    void demandDoesNotRaiseRate() {
        TokenBucket bucket = new TokenBucket(clock, 20, 1);
        int taken = 0;
        for (int millis = 0; millis < 10_000; millis++) {
            clock.advanceMillis(1);
            for (int i = 0; i < 50; i++) {
                taken += bucket.tryTake() ? 1 : 0;
            }
        }
        assertThat(taken).isAtMost(201);
        assertThat(taken).isAtLeast(195);
    }

    @Test
    void bucketWithoutCapacityHasNoTokens() {
        assertThat(new TokenBucket(clock, 0, 0).tryTake()).isFalse();
    }

    @Test
    void discardsTokensAboveReducedCapacity() {
        TokenBucket bucket = new TokenBucket(clock, 1, 10);
        bucket.resize(1, 2);
        assertThat(bucket.tryTake(3)).isFalse();
        assertThat(bucket.tryTake(2)).isTrue();
    }
}
