package io.mustardusher.health;

import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SuspectTableTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final SuspectTable table = new SuspectTable(clock);

    @Test
    void callSeenInOneCrashRunsAlone() {
        assertThat(table.add(1, 100)).isTrue();
        assertThat(table.add(1, 100)).isFalse();
        assertThat(table.judge(1)).isEqualTo(SuspectTable.Judgement.RUN_ALONE);
    }

    @Test
    void callSeenInTwoCrashesIsRefused() {
        table.add(1, 100);
        table.add(1, 200);
        assertThat(table.judge(1)).isEqualTo(SuspectTable.Judgement.REFUSE);
    }

    @Test
    void innocentCallIsClearedAndStaysCleared() {
        table.add(1, 100);
        table.clear(1);
        table.add(1, 100);
        assertThat(table.judge(1)).isEqualTo(SuspectTable.Judgement.RUN);
    }

    @Test
    void suspectIsForgotten() {
        table.add(1, 100);
        table.add(1, 200);
        clock.advanceMillis(SuspectTable.FORGET_NANOS / Clock.NANOS_PER_MILLI + 1);
        assertThat(table.judge(1)).isEqualTo(SuspectTable.Judgement.RUN);
    }

    @Test
    void whereCallsRepeatOnlyTheThirdCrashCounts() {
        SuspectTable counting = new SuspectTable(clock, SuspectTable.Rule.COUNT);
        counting.add(1, 100);
        counting.add(1, 200);
        assertThat(counting.judge(1)).isEqualTo(SuspectTable.Judgement.RUN);
        counting.add(1, 300);
        assertThat(counting.judge(1)).isEqualTo(SuspectTable.Judgement.REFUSE);
    }

    @Test
    void crashThatSeveralNodesReportCountsOnce() {
        SuspectTable counting = new SuspectTable(clock, SuspectTable.Rule.COUNT);
        for (int report = 0; report < 5; report++) {
            counting.add(1, 100);
        }
        assertThat(counting.judge(1)).isEqualTo(SuspectTable.Judgement.RUN);
    }
}
