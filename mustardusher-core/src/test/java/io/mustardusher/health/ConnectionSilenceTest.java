package io.mustardusher.health;

import io.mustardusher.health.ConnectionSilence.Step;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against silence that is found late or never, and against sound connections that are taken for silent. */
class ConnectionSilenceTest {

    private static final long PATIENCE = ConnectionSilence.MIN_PATIENCE_NANOS;

    private final Clock.Manual clock = new Clock.Manual();
    private final ConnectionSilence silence = new ConnectionSilence();

    @Test
    void idleConnectionIsNeverChecked() {
        silence.recordRequest(clock.nanoTime());
        silence.recordReceived(false, clock.nanoTime());
        assertThat(after(3_600_000)).isEqualTo(Step.NOTHING);
    }

    @Test
    void unansweredRequestLeadsToPingAndThenToReplacement() {
        silence.recordRequest(clock.nanoTime());
        assertThat(after(199)).isEqualTo(Step.WAIT);
        assertThat(after(1)).isEqualTo(Step.PING);
        assertThat(after(99)).isEqualTo(Step.WAIT);
        assertThat(after(1)).isEqualTo(Step.REPLACE);
    }

    @Test
    void bytesOfSlowResponseKeepTheConnection() {
        silence.recordRequest(clock.nanoTime());
        for (int i = 0; i < 100; i++) {
            assertThat(after(190)).isEqualTo(Step.WAIT);
            silence.recordReceived(true, clock.nanoTime());
        }
    }

    @Test
    void answeredPingKeepsTheConnectionOfSlowCall() {
        silence.recordRequest(clock.nanoTime());
        for (int i = 0; i < 100; i++) {
            assertThat(after(200)).isEqualTo(Step.PING);
            clock.advanceMillis(20);
            silence.recordReceived(true, clock.nanoTime());
        }
    }

    @Test
    void furtherRequestsDoNotDeferTheDiscovery() {
        for (int i = 0; i < 20; i++) {
            silence.recordRequest(clock.nanoTime());
            silence.recordSent(2_000);
            clock.advanceMillis(10);
        }
        assertThat(after(0)).isEqualTo(Step.PING);
    }

    @Test
    void largeRequestHasTimeToBeSent() {
        silence.recordRequest(clock.nanoTime());
        silence.recordSent(400_000);
        assertThat(after(1_199)).isEqualTo(Step.WAIT);
        assertThat(after(1)).isEqualTo(Step.PING);
    }

    private Step after(long millis) {
        clock.advanceMillis(millis);
        return silence.next(PATIENCE, clock.nanoTime());
    }
}
