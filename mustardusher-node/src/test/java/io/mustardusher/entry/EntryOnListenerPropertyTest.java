package io.mustardusher.entry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import io.mustardusher.entry.CallerFixture.HeldCall;
import io.mustardusher.http.AnswerReader;
import io.mustardusher.http.AnswerReader.Answer;
import io.mustardusher.http.ProperRequest;
import io.mustardusher.route.RequestLimits;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against proper requests that are turned away as wrong, lost, altered or run after a promise to the contrary. */
class EntryOnListenerPropertyTest {

    private static final String SEED = "2602";
    private static final int TRIES = 1_500;

    @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    void answersProperRequestsThatArriveInTime(@ForAll long seed) {
        new Run(seed, 900, false).play();
    }

    @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    void turnsNoProperRequestAwayWhileBodiesStallAndConnectionsDrain(@ForAll long seed) {
        new Run(seed, 2_500, true).play();
    }

    /** One caller that sends its requests one after another. */
    private static final class Run {

        private static final int MAX_REQUESTS = 4;
        private static final int MAX_PAUSES = 3;
        private static final int MAX_FRAMED_CHUNKS = 60_000;
        private static final int LATE = 408;

        private final Random random;
        private final int longestPause;
        private final boolean mayDrain;
        private final CallerFixture fixture = new CallerFixture(new ManualTimers(), RequestLimits.DEFAULT);
        private final List<ProperRequest> requests = new ArrayList<>();

        Run(long seed, int longestPause, boolean mayDrain) {
            random = new Random(seed);
            this.longestPause = longestPause;
            this.mayDrain = mayDrain;
        }

        void play() {
            int count = 1 + random.nextInt(MAX_REQUESTS);
            for (int i = 0; i < count && (i == 0 || !lastAnswer().closes()); i++) {
                if (mayDrain && random.nextInt(6) == 0) {
                    fixture.entry.drainConnections();
                }
                requests.add(next(i, i == count - 1));
                send(requests.get(i));
                finish(requests.get(i));
            }
            if (lastAnswer().closes()) {
                fixture.caller.pass(2_000);
                assertThat(fixture.caller.isOpen()).isFalse();
            }
        }

        // A long body of unknown length is streamed to the gate over HTTP, which is not simulated.
        private ProperRequest next(int number, boolean last) {
            ProperRequest request = ProperRequest.random(random, number, last && random.nextBoolean());
            while (request.chunked() && request.body().length > MAX_FRAMED_CHUNKS) {
                request = ProperRequest.random(random, number, last && random.nextBoolean());
            }
            return request;
        }

        private void send(ProperRequest request) {
            sendInPieces(request.head(), 0);
            if (request.waitsForBody()) {
                int seen = answers().size();
                assertWithMessage("the caller waits for 100 (Continue)")
                        .that(answers().get(seen - 1).isInterim())
                        .isTrue();
            }
            sendInPieces(request.rest(), request.chunked() ? 0 : MAX_PAUSES);
        }

        private void sendInPieces(byte[] bytes, int pauses) {
            int at = 0;
            int left = pauses;
            while (at < bytes.length && fixture.caller.isOpen()) {
                int size = random.nextInt(3) == 0 ? 1 : 1 + random.nextInt(bytes.length - at);
                assertWithMessage("reading").that(fixture.caller.isReading()).isTrue();
                fixture.caller.send(Arrays.copyOfRange(bytes, at, at + size));
                at += size;
                if (left > 0 && random.nextInt(3) == 0) {
                    left--;
                    fixture.caller.pass(1 + random.nextInt(longestPause));
                }
            }
        }

        private void finish(ProperRequest request) {
            int number = requests.size();
            if (finalAnswers().size() < number) {
                assertWithMessage("neither answered nor passed on")
                        .that(fixture.calls)
                        .isNotEmpty();
                HeldCall call = fixture.calls.get(fixture.calls.size() - 1);
                assertThat(call.path).isEqualTo(request.path());
                assertWithMessage("body of %s", call.path)
                        .that(Arrays.equals(call.body, request.body()))
                        .isTrue();
                fixture.caller.pass(1 + random.nextInt(100));
                call.answer();
            }
            assertThat(finalAnswers()).hasSize(number);
            Answer answer = lastAnswer();
            if (mayDrain && answer.status() == LATE) {
                assertThat(fixture.calls.stream().map(call -> call.path)).doesNotContain(request.path());
                return;
            }
            assertThat(answer.status()).isEqualTo(200);
            String expected = CallerFixture.expectedAnswer(request.path(), request.body());
            assertThat(answer.body()).isEqualTo(request.method().equals("HEAD") ? "" : expected);
            assertThat(fixture.calls.stream()
                            .filter(call -> call.path.equals(request.path()))
                            .toList())
                    .hasSize(1);
        }

        private List<Answer> answers() {
            return AnswerReader.read(
                    fixture.caller.answers(),
                    number -> requests.get(number).method().equals("HEAD"));
        }

        private List<Answer> finalAnswers() {
            return answers().stream().filter(answer -> !answer.isInterim()).toList();
        }

        private Answer lastAnswer() {
            List<Answer> answers = finalAnswers();
            return answers.get(answers.size() - 1);
        }
    }
}
