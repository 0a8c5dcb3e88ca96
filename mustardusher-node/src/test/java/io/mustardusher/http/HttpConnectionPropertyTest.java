package io.mustardusher.http;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.http.AnswerReader.Answer;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.time.Clock;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against proper requests that are turned away, lost, altered or given the answer to another request. */
class HttpConnectionPropertyTest {

    private static final String SEED = "2601";
    private static final int TRIES = 1_500;
    private static final RequestLimits LIMITS = new RequestLimits(16 << 10, 1 << 20, 3_000, 15_000);
    private static final int[] STATUSES = {200, 201, 204, 404, 500, 503};

    @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    void answersProperRequestsOnKeptConnection(@ForAll long seed) {
        new Run(seed, false, false).play();
    }

    @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    void answersAllRequestsThatWereHandledBeforeConnectionDrains(@ForAll long seed) {
        new Run(seed, true, false).play();
    }

    @Property(tries = TRIES, seed = SEED, shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    void endsExchangesOfCallerThatDisconnects(@ForAll long seed) {
        new Run(seed, false, true).play();
    }

    /** One caller on one connection. */
    private static final class Run {

        private static final int MAX_REQUESTS = 6;
        private static final int MAX_STEPS = 60_000;
        private static final int TINY_BYTES = 2_000;

        private final Random random;
        private final Clock.Manual clock = new Clock.Manual();
        private final CallerChannel caller;
        private final boolean mayDisconnect;
        private final boolean pipelines;
        private final boolean slowHandler;
        private final boolean answersEarly;
        private final int drainAfter;
        private final List<ProperRequest> requests = new ArrayList<>();
        private final List<Handled> handled = new ArrayList<>();

        /** Number of the request that is being sent, and position in its head and then in its body. */
        private int sending;

        private int position;

        Run(long seed, boolean drains, boolean mayDisconnect) {
            random = new Random(seed);
            this.mayDisconnect = mayDisconnect;
            pipelines = random.nextBoolean();
            slowHandler = random.nextBoolean();
            answersEarly = random.nextInt(3) == 0;
            int count = 1 + random.nextInt(MAX_REQUESTS);
            drainAfter = drains ? random.nextInt(count) : Integer.MAX_VALUE;
            boolean closes = random.nextInt(4) == 0;
            for (int i = 0; i < count; i++) {
                requests.add(ProperRequest.random(random, i, closes && i == count - 1));
            }
            caller = new CallerChannel(this::handle, () -> LIMITS, clock);
        }

        void play() {
            for (int step = 0; step < MAX_STEPS; step++) {
                check();
                if (mayDisconnect && random.nextInt(20) == 0) {
                    disconnect();
                    return;
                }
                if (!step()) {
                    assertAllAnswered();
                    return;
                }
            }
            throw new AssertionError("no end");
        }

        // Returns whether anything is left to do.
        private boolean step() {
            List<Handled> ready = handled.stream().filter(Handled::isReady).toList();
            Handled held = ready.isEmpty() ? null : ready.get(random.nextInt(ready.size()));
            boolean maySend = maySend();
            int choice = random.nextInt(slowHandler ? 12 : 6);
            if (choice == 0 && held != null) {
                held.answer();
            } else if (choice == 1) {
                caller.pass(1 + random.nextInt(isInHead() ? 2 : 1_500));
            } else if (maySend) {
                send();
            } else if (held != null) {
                held.answer();
            } else if (isWaitingForContinue() || isUnread()) {
                return finishWaiting();
            } else {
                return false;
            }
            return true;
        }

        // The collection time of a body passes, after which its request must have been handed over or answered.
        private boolean finishWaiting() {
            int before = handled.size();
            int answersBefore = answers().size();
            caller.pass(1_500);
            caller.pass(1_500);
            return handled.size() > before || answers().size() > answersBefore || maySend();
        }

        private boolean isUnread() {
            return sending < requests.size() && caller.isOpen() && !caller.isReading();
        }

        private boolean isInHead() {
            return sending < requests.size() && position < requests.get(sending).head().length;
        }

        private boolean maySend() {
            if (sending == requests.size() || !caller.isReading() || lastAnswerCloses()) {
                return false;
            }
            if (position == 0 && !pipelines && finalAnswers().size() < sending) {
                return false;
            }
            return !isWaitingForContinue();
        }

        private boolean isWaitingForContinue() {
            if (sending == requests.size()) {
                return false;
            }
            ProperRequest current = requests.get(sending);
            if (!current.waitsForBody() || position != current.head().length) {
                return false;
            }
            List<Answer> answers = answers();
            boolean continued =
                    !answers.isEmpty() && answers.get(answers.size() - 1).isInterim();
            return !continued && finalAnswers().size() <= sending;
        }

        private void send() {
            ProperRequest current = requests.get(sending);
            boolean inHead = isInHead();
            int sent = inHead ? position : position - current.head().length;
            byte[] part = inHead ? current.head() : current.rest();
            int left = part.length - sent;
            if (left == 0) {
                endRequest();
                return;
            }
            int longest = left > TINY_BYTES ? left : 1 + random.nextInt(left);
            int size = Math.min(left, random.nextInt(3) == 0 ? 1 : longest);
            byte[] segment = Arrays.copyOfRange(part, sent, sent + size);
            position += size;
            boolean complete = position == current.head().length + current.rest().length;
            if (complete && pipelines && sending + 1 < requests.size() && random.nextBoolean()) {
                endRequest();
                segment = withNext(segment);
            }
            caller.send(segment);
            if (complete && position > 0 && sending < requests.size() && requests.get(sending) == current) {
                endRequest();
            }
        }

        // The next request begins in the same segment.
        private byte[] withNext(byte[] segment) {
            byte[] next = requests.get(sending).head();
            int size = 1 + random.nextInt(next.length);
            byte[] joined = Arrays.copyOf(segment, segment.length + size);
            System.arraycopy(next, 0, joined, segment.length, size);
            position = size;
            return joined;
        }

        private void endRequest() {
            sending++;
            position = 0;
        }

        private void check() {
            List<Answer> answers = finalAnswers();
            assertThat(answers.size()).isAtMost(handled.size());
            for (int i = 0; i < answers.size(); i++) {
                Handled expected = handled.get(i);
                assertThat(answers.get(i).status()).isEqualTo(expected.status);
                assertThat(answers.get(i).body()).isEqualTo(expected.expectedBody());
                assertWithMessage("answer before its time")
                        .that(expected.answered)
                        .isTrue();
                if (answers.get(i).closes()) {
                    assertThat(i).isEqualTo(answers.size() - 1);
                }
            }
        }

        private void assertAllAnswered() {
            List<Answer> answers = finalAnswers();
            assertWithMessage("handled, but not answered").that(answers).hasSize(handled.size());
            boolean closed = lastAnswerCloses();
            if (!closed) {
                assertWithMessage(
                                "read, while reading is %s and a body is awaited: %s",
                                caller.isReading(), isWaitingForContinue())
                        .that(sending)
                        .isEqualTo(requests.size());
                assertThat(handled).hasSize(requests.size());
                assertWithMessage("closed without notice").that(caller.isOpen()).isTrue();
            }
            if (drainAfter == Integer.MAX_VALUE && !answersEarly) {
                assertThat(handled).hasSize(requests.size());
                assertThat(closed).isEqualTo(requests.get(requests.size() - 1).closes());
            }
            if (closed) {
                caller.pass(2_000);
                assertWithMessage("closed after its last answer")
                        .that(caller.isOpen())
                        .isFalse();
            }
            handled.forEach(
                    request -> assertThat(request.exchange.ended().isDone()).isTrue());
        }

        private void disconnect() {
            caller.disconnect();
            handled.forEach(request -> {
                boolean ended = request.exchange.ended().isDone();
                assertWithMessage("ended").that(ended).isTrue();
            });
            handled.forEach(Handled::answer);
            check();
        }

        private List<Answer> answers() {
            return AnswerReader.read(
                    caller.answers(), number -> requests.get(number).method().equals("HEAD"));
        }

        private List<Answer> finalAnswers() {
            return answers().stream().filter(answer -> !answer.isInterim()).toList();
        }

        private boolean lastAnswerCloses() {
            List<Answer> answers = finalAnswers();
            return !answers.isEmpty() && answers.get(answers.size() - 1).closes();
        }

        private HttpResponse handle(HttpRequest request, RequestExchange exchange) {
            assertThat(handled.size()).isLessThan(requests.size());
            Handled next = new Handled(requests.get(handled.size()), request, exchange);
            handled.add(next);
            return next.start();
        }

        /** A request at the handler. */
        private final class Handled {

            private final ProperRequest sent;
            private final HttpRequest request;
            private final RequestExchange exchange;
            private final int number = handled.size();
            private final int status = STATUSES[random.nextInt(STATUSES.length)];
            private final boolean reads = !answersEarly || random.nextBoolean();
            private final boolean waits = !answersEarly || random.nextBoolean();
            private final boolean atOnce = random.nextInt(3) == 0;
            private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
            private boolean bodyArrived;
            private boolean answered;

            Handled(ProperRequest sent, HttpRequest request, RequestExchange exchange) {
                this.sent = sent;
                this.request = request;
                this.exchange = exchange;
            }

            HttpResponse start() {
                assertThat(request.path()).isEqualTo(sent.path());
                assertThat(request.method().name()).isEqualTo(sent.method());
                assertThat(request.headers().get("x-request-no")).isEqualTo("id" + number);
                assertThat(exchange.isUnanswerable()).isFalse();
                if (number >= drainAfter) {
                    exchange.closeAfterResponse();
                }
                if (reads) {
                    request.aggregate(exchange.executor()).whenComplete((body, failure) -> {
                        if (failure == null) {
                            assertWithMessage("body of " + sent.path())
                                    .that(Arrays.equals(body.content().array(), sent.body()))
                                    .isTrue();
                            bodyArrived = true;
                        } else {
                            assertWithMessage("body cut short")
                                    .that(answered || !caller.isOpen())
                                    .isTrue();
                        }
                        if (atOnce && !answered) {
                            answer();
                        }
                    });
                } else if (atOnce) {
                    answer();
                }
                return HttpResponse.of(response);
            }

            boolean isReady() {
                return !answered && (bodyArrived || !reads || !waits);
            }

            void answer() {
                answered = true;
                response.complete(
                        HttpResponse.of(ResponseHeaders.of(HttpStatus.valueOf(status)), HttpData.ofUtf8(content())));
            }

            String expectedBody() {
                return sent.method().equals("HEAD") ? "" : content();
            }

            private String content() {
                return status == 204 ? "" : "answer to " + sent.path();
            }
        }
    }
}
