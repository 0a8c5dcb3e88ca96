package io.mustardusher.call;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RunReportTest {

    @Test
    void parsesWhatItFormats() {
        RunReport report = new RunReport(1_234, 17, true, "0a1b2c3d");
        assertThat(report.toHeader()).isEqualTo("1234.17.1.0a1b2c3d");
        assertThat(RunReport.parse(report.toHeader())).hasValue(report);
        RunReport unsigned = new RunReport(1, 1, false, "-");
        assertThat(RunReport.parse(unsigned.toHeader())).hasValue(unsigned);
    }

    @Test
    void ignoresOtherTexts() {
        for (String text : new String[] {null, "", "1712", "1.2.0", "a.2.0.0a1b2c3d", "1.b.0.0a1b2c3d", "1.2.0.-.5"}) {
            assertThat(RunReport.parse(text)).isEmpty();
        }
    }

    @Test
    void digestIsCrc32InEightDigits() {
        assertThat(RunReport.digest(Optional.of("123456789"))).isEqualTo("cbf43926");
        assertThat(RunReport.digest(Optional.of(""))).isEqualTo("00000000");
        assertThat(RunReport.digest(Optional.empty())).isEqualTo("-");
    }
}
