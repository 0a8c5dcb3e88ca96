package io.mustardusher.ctl;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against a profile that blames the server for time that a call lost at its entry or at other gates. */
class CallProfileTest {

    private static final Instant START = Instant.parse("2026-07-06T14:44:14Z");

    private final CallProfile profile = CallProfile.of(List.of(
            routed(10, "a", 1),
            routed(40, "a", 2),
            new LogLine(START.plusMillis(190), "n", 2005, "call a: n2 answers 200 after attempt 2, 195000 us"),
            routed(200, "b", 1),
            new LogLine(START.plusMillis(900), "n", 2002, "call b: no answer from clips, code 3001 after attempt 1: x"),
            new LogLine(START.plusMillis(950), "n", 2005, "call b: n2 answers 200 after attempt 1, 750000 us")));

    @Test
    void dividesTotalByStages() {
        assertThat(profile.millis("clips", CallProfile.Stage.TOTAL, 50)).isEqualTo(195);
        assertThat(profile.millis("clips", CallProfile.Stage.BEFORE_CHOICE, 50)).isEqualTo(15);
        assertThat(profile.millis("clips", CallProfile.Stage.EARLIER_ATTEMPTS, 50))
                .isEqualTo(30);
        assertThat(profile.millis("clips", CallProfile.Stage.LAST_ATTEMPT, 50)).isEqualTo(150);
    }

    @Test
    void leavesOutCallsWithoutAnswer() {
        assertThat(profile.millis("clips", CallProfile.Stage.TOTAL, 100)).isLessThan(300);
    }

    @Test
    void printsRowForEachService() {
        StringWriter text = new StringWriter();
        profile.print(new PrintWriter(text, true));
        assertThat(text.toString().lines().toList()).hasSize(2);
        assertThat(text.toString()).containsMatch("clips +3 +1 +195 +195 +15 +15 +30 +30 +150 +150");
    }

    private static LogLine routed(long millis, String call, int attempt) {
        String text =
                "call " + call + ": route clips to n2 by least-cost, attempt " + attempt + ", estimate 9 us, of 3";
        return new LogLine(START.plusMillis(millis), "n", 2001, text);
    }
}
