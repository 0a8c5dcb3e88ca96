package io.mustardusher.nested;

import java.util.ArrayList;
import java.util.List;

import io.mustardusher.admission.Ticket;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against two runs of one call at a server that leave no trace, although an identifier then names both. */
class RunningCallsTest {

    private final List<String> overlaps = new ArrayList<>();
    private final RunningCalls calls =
            new RunningCalls(new NestedCallForecast(new Clock.Manual(), (route, refusing) -> {}), overlaps::add);

    @Test
    void reportsCallWhoseEarlierRunHasNotEnded() {
        RunningCall first = call("a");
        calls.start(first);
        calls.start(call("b"));
        RunningCall second = call("a");
        calls.start(second);
        assertThat(overlaps).containsExactly("a");
        calls.end(first);
        assertThat(calls.findParent("a.1")).hasValue(second);
    }

    @Test
    void reportsNoCallWhoseEarlierRunsHaveEnded() {
        for (int run = 0; run < 3; run++) {
            RunningCall call = call("a");
            calls.start(call);
            calls.end(call);
        }
        assertThat(overlaps).isEmpty();
    }

    @Test
    void reportsNoCallsWithoutIdentifier() {
        calls.start(call("-"));
        calls.start(call("-"));
        assertThat(overlaps).isEmpty();
    }

    private static RunningCall call(String id) {
        return new RunningCall(id, "route", ServiceClass.STANDARD, Ticket.Precedence.NONE, Long.MAX_VALUE);
    }
}
