package io.mustardusher.lab.profile;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ProcessSampleTest {

    @Test
    void readsFieldOfStatusFile() {
        List<String> lines =
                List.of("nonvoluntary_ctxt_switches:\t7", "VmRSS:\t  123 kB", "voluntary_ctxt_switches:\t45");
        assertThat(ProcessSample.field(lines, "VmRSS:")).isEqualTo(123);
        assertThat(ProcessSample.field(lines, "voluntary_ctxt_switches:")).isEqualTo(45);
        assertThat(ProcessSample.field(lines, "missing:")).isEqualTo(0);
    }

    @Test
    void subtractsEarlierUsageButKeepsResidentMemory() {
        ProcessSample earlier = new ProcessSample(400, Map.of("a", 20L, "ended", 5L), 6_000);
        ProcessSample later = new ProcessSample(900, Map.of("a", 50L, "new", 3L), 7_000);
        assertThat(later.since(earlier)).isEqualTo(new ProcessSample(500, Map.of("a", 30L, "new", 3L), 7_000));
        assertThat(later.since(earlier).totalWakeUps()).isEqualTo(33);
    }

    @Test
    void addsUsageOfOtherProcesses() {
        ProcessSample first = new ProcessSample(100, Map.of("a", 1L), 1_000);
        ProcessSample second = new ProcessSample(200, Map.of("b", 2L), 2_000);
        assertThat(first.plus(second)).isEqualTo(new ProcessSample(300, Map.of("a", 1L, "b", 2L), 3_000));
    }
}
