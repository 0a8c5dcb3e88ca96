package io.mustardusher.health;

import java.util.Random;

import io.mustardusher.membership.NodeId;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: servers refuse a fraction of all calls for some seconds although they have free slots. */
class ServiceSheddingTest {

    private static final int SERVERS = 16;

    private final Clock.Manual clock = new Clock.Manual();
    private final Random random = new Random(3);
    private int changes;
    private final ServiceShedding shedding = new ServiceShedding(clock, (refuses, refusing, used) -> changes++);

    /** An entry that makes few calls uses a few of the servers in a second. */
    @ParameterizedTest
    @ValueSource(ints = {10, 40, 150})
    void detectsServiceThatRefusesMostCalls(int intervalMillis) {
        run(5_000, intervalMillis, SERVERS, 0);
        assertThat(changes).isEqualTo(0);
        double detected = run(8_500, intervalMillis, SERVERS, 0.55);
        assertThat(detected).isAtLeast(0.7);
        run(3_000, intervalMillis, SERVERS, 0);
        assertThat(shedding.isShedding()).isFalse();
    }

    /** Guards against the fault of one server that is taken for a state of the service. */
    @Test
    void faultOfOneServerIsNoStateOfService() {
        assertThat(run(10_000, 20, 1, 1)).isEqualTo(0);
    }

    /** Guards against a budget that is spent on retries which are refused as well. */
    @Test
    void retriesAreNotWorthwhileWhenNearlyAllCallsAreRefused() {
        run(2_000, 20, SERVERS, 0.55);
        assertThat(shedding.isRetryWorthwhile()).isTrue();
        run(2_000, 20, SERVERS, 0.95);
        assertThat(shedding.isRetryWorthwhile()).isFalse();
        clock.advanceMillis(1_001);
        assertThat(shedding.isRetryWorthwhile()).isTrue();
    }

    // Returns the share of the calls at which the service counted as refusing.
    private double run(int millis, int intervalMillis, int refusingServers, double refusedShare) {
        int calls = 0;
        int detected = 0;
        for (int time = 0; time < millis; time += intervalMillis) {
            clock.advanceMillis(intervalMillis);
            int server = random.nextInt(SERVERS);
            if (server < refusingServers && random.nextDouble() < refusedShare) {
                shedding.recordRefused(NodeId.of("node-" + server));
            } else {
                shedding.recordAccepted(NodeId.of("node-" + server));
            }
            calls++;
            detected += shedding.isShedding() ? 1 : 0;
        }
        return (double) detected / calls;
    }
}
