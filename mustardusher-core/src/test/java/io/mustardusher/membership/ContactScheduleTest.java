package io.mustardusher.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Load pattern: nodes start one after the other, and those that have not started refuse connections. */
class ContactScheduleTest {

    private static final List<InetSocketAddress> NODES = IntStream.range(1, 20)
            .mapToObj(port -> new InetSocketAddress("127.0.0.1", port))
            .toList();

    private final Clock.Manual clock = new Clock.Manual();

    @Test
    void triesNextNodeAtOnceWhenOneRefuses() {
        ContactSchedule schedule = new ContactSchedule(clock, 2, NODES);
        assertThat(schedule.takeDue(Set.of())).containsExactly(NODES.get(0), NODES.get(1));
        assertThat(schedule.takeDue(Set.of())).isEmpty();
        schedule.recordResult(NODES.get(0), false);
        assertThat(schedule.takeDue(Set.of())).containsExactly(NODES.get(2));
    }

    /** Guards against a node that tries others at a constant rate for as long as it is alone. */
    @Test
    void attemptsThinOutAndEnd() {
        ContactSchedule schedule = new ContactSchedule(clock, 1, NODES.subList(0, 1));
        List<Long> times = new ArrayList<>();
        for (long millis = 0; millis < 10_000; millis += 10) {
            for (InetSocketAddress address : schedule.takeDue(Set.of())) {
                times.add(millis);
                schedule.recordResult(address, false);
            }
            clock.advanceMillis(10);
        }
        assertThat(times).containsExactly(0L, 100L, 270L, 560L, 1_060L, 1_900L).inOrder();
        assertThat(schedule.isDone()).isTrue();
    }

    @Test
    void doesNotRetryNodeThatHasMadeContactItself() {
        ContactSchedule schedule = new ContactSchedule(clock, 1, NODES.subList(0, 1));
        schedule.takeDue(Set.of()).forEach(address -> schedule.recordResult(address, false));
        clock.advanceMillis(1_000);
        assertThat(schedule.takeDue(Set.of(NODES.get(0)))).isEmpty();
        assertThat(schedule.isDone()).isTrue();
    }
}
