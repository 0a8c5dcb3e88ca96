package io.mustardusher.health;

import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SuspectTableTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final SuspectTable table = new SuspectTable(clock);

    @Test
    void callInFlightInOneCrashRunsExclusively() {
        assertThat(table.add(1, 100)).isTrue();
        assertThat(table.add(1, 100)).isFalse();
        assertThat(table.actionFor(1)).isEqualTo(SuspectTable.Action.RUN_EXCLUSIVELY);
    }

    @Test
    void rejectsCallInFlightInTwoCrashes() {
        table.add(1, 100);
        table.add(1, 200);
        assertThat(table.actionFor(1)).isEqualTo(SuspectTable.Action.REJECT);
    }

    @Test
    void clearedCallStaysClearedOfSameCrash() {
        table.add(1, 100);
        table.clear(1);
        table.add(1, 100);
        assertThat(table.actionFor(1)).isEqualTo(SuspectTable.Action.RUN);
    }

    @Test
    void suspectExpires() {
        table.add(1, 100);
        table.add(1, 200);
        clock.advanceMillis(SuspectTable.EXPIRY_NANOS / Clock.NANOS_PER_MILLI + 1);
        assertThat(table.actionFor(1)).isEqualTo(SuspectTable.Action.RUN);
    }

    @Test
    void lenientPolicyRejectsCallOnlyAfterThirdCrash() {
        SuspectTable lenient = new SuspectTable(clock, SuspectTable.Policy.REJECT_AFTER_THREE_CRASHES);
        lenient.add(1, 100);
        lenient.add(1, 200);
        assertThat(lenient.actionFor(1)).isEqualTo(SuspectTable.Action.RUN);
        lenient.add(1, 300);
        assertThat(lenient.actionFor(1)).isEqualTo(SuspectTable.Action.REJECT);
    }

    @Test
    void crashReportedByMultipleNodesCountsOnce() {
        SuspectTable lenient = new SuspectTable(clock, SuspectTable.Policy.REJECT_AFTER_THREE_CRASHES);
        for (int report = 0; report < 5; report++) {
            lenient.add(1, 100);
        }
        assertThat(lenient.actionFor(1)).isEqualTo(SuspectTable.Action.RUN);
    }
}
