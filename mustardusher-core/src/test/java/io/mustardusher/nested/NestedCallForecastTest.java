package io.mustardusher.nested;

import java.util.Random;

import io.mustardusher.admission.Ticket;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.catalogue.ServiceName;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: 7 of 10 calls of a route make two nested calls in sequence to a service that refuses many of them. */
class NestedCallForecastTest {

    private static final ServiceName INNER = ServiceName.of("inner");
    private static final int INTERVAL_MILLIS = 160;

    private final Clock.Manual clock = new Clock.Manual();
    private final Random random = new Random(5);
    private int changes;
    private final RunningCalls calls =
            new RunningCalls(new NestedCallForecast(clock, (route, refusing) -> changes++), id -> {});

    /** Guards against runs that hold a slot for nothing, and against refusing runs of which many would succeed. */
    @ParameterizedTest
    @CsvSource({"0.9, 0, 0", "0.75, 0, 0.1", "0.3, 0.5, 0.87", "0, 0.6, 0.88"})
    void refusesRootsWhoseNestedCallsHaveLittleChance(double accepted, double atLeast, double atMost) {
        run(50, 1);
        int refused = run(100, accepted);
        assertThat(refused / 100.0).isAtLeast(atLeast);
        assertThat(refused / 100.0).isAtMost(atMost);
    }

    /** Guards against a route that stays refused after the service has room again. */
    @Test
    void admitsRootsAgainWhenServiceAccepts() {
        run(50, 1);
        run(100, 0.2);
        assertThat(run(40, 1)).isAtMost(30);
        assertThat(run(20, 1)).isEqualTo(0);
        assertThat(changes % 2).isEqualTo(0);
    }

    @Test
    void refusalsExpireWhenRouteIsNotCalled() {
        run(50, 1);
        run(100, 0);
        clock.advanceMillis(20_000);
        assertThat(calls.forecast().refuses("outer")).isFalse();
    }

    private int run(int number, double accepted) {
        int refused = 0;
        for (int i = 0; i < number; i++) {
            clock.advanceMillis(INTERVAL_MILLIS);
            if (calls.forecast().refuses("outer")) {
                refused++;
                continue;
            }
            RunningCall call =
                    new RunningCall("id-" + i, "outer", ServiceClass.STANDARD, Ticket.Precedence.NONE, Long.MAX_VALUE);
            calls.start(call);
            assertThat(calls.findParent("id-" + i + ".1")).hasValue(call);
            boolean first = random.nextDouble() < accepted;
            if (random.nextInt(10) < 7) {
                call.recordNestedCall(INNER, first);
                if (first) {
                    call.recordNestedCall(INNER, random.nextDouble() < accepted);
                }
            }
            calls.end(call);
            assertThat(calls.findParent("id-" + i + ".1")).isEmpty();
        }
        return refused;
    }
}
