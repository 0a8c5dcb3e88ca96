package io.mustardusher.server;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.util.EventLoopGroups;
import io.mustardusher.call.CallHeaders;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls that lose their responses because two threads send them over one connection. The connections of
 * a link are confined to its event loop, but calls are also sent by the timers, after a check for a crash.
 */
class LinkThreadsTest {

    private static final long REMAINING_NANOS = 5_000 * Clock.NANOS_PER_MILLI;
    private static final int SENDERS = 4;
    private static final int CALLS_OF_SENDER = 3_000;
    private static final int LETTERS = 26;

    private final EventLoopGroup group = EventLoopGroups.newEventLoopGroup(1, "link-threads", true);
    private final Set<Thread> threads = ConcurrentHashMap.newKeySet();
    private ScriptedServer server;
    private ServerLink link;

    @BeforeEach
    void listen() throws IOException {
        server = new ScriptedServer();
        server.serve((number, id) -> "HTTP/1.1 200 OK\r\nid: " + id + "\r\ncontent-length: 0\r\n\r\n");
        // The clock stands still, so that no connection becomes too old to be reused.
        link = BufferedServerLink.factory(
                        group, new ThreadRecorder(), ServerReports.Discarding.INSTANCE, new Clock.Manual())
                .open(server.announcement());
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        server.close();
        group.shutdownGracefully();
    }

    @Test
    void connectionsAreUsedOnEventLoopOnly() throws Exception {
        for (HttpData body : List.of(HttpData.empty(), HttpData.ofUtf8("body"))) {
            link.send(HttpRequest.of(headers("a"), body), REMAINING_NANOS)
                    .headers()
                    .join();
        }
        Thread loop = group.next().submit(Thread::currentThread).get();
        assertThat(threads).containsExactly(loop);
    }

    @Test
    void callsOfSeveralThreadsAreAnswered() throws InterruptedException {
        Queue<String> lost = new ConcurrentLinkedQueue<>();
        List<Thread> senders = new ArrayList<>();
        for (int i = 0; i < SENDERS; i++) {
            int first = i * CALLS_OF_SENDER;
            senders.add(new Thread(() -> sendCalls(first, lost)));
        }
        senders.forEach(Thread::start);
        for (Thread sender : senders) {
            sender.join();
        }
        assertThat(lost).isEmpty();
    }

    private void sendCalls(int first, Queue<String> lost) {
        for (int number = first; number < first + CALLS_OF_SENDER; number++) {
            String id = idOf(number);
            try {
                ResponseHeaders response = link.send(HttpRequest.of(headers(id)), REMAINING_NANOS)
                        .headers()
                        .get(1, TimeUnit.MINUTES);
                if (!id.equals(response.get("id"))) {
                    lost.add(id + " got " + response);
                }
            } catch (Exception e) {
                lost.add(id + " " + e);
            }
        }
    }

    private static String idOf(int number) {
        StringBuilder letters = new StringBuilder();
        for (int rest = number + 1; rest > 0; rest /= LETTERS) {
            letters.append((char) ('a' + rest % LETTERS));
        }
        return letters.toString();
    }

    private static RequestHeaders headers(String id) {
        return RequestHeaders.builder(HttpMethod.POST, "/")
                .authority("h.example")
                .set("id", id)
                .set(CallHeaders.IDEMPOTENT, "1")
                .build();
    }

    /** Records the threads that read the identifiers of requests and responses. */
    private final class ThreadRecorder implements ServerDialect {

        @Override
        public RequestHeaders requestHeaders(RequestHeadersBuilder call, String instance, long remainingNanos) {
            return EchoDialect.INSTANCE.requestHeaders(call, instance, remainingNanos);
        }

        @Override
        public Optional<String> requestId(HttpHeaders headers) {
            threads.add(Thread.currentThread());
            return EchoDialect.INSTANCE.requestId(headers);
        }

        @Override
        public ResponseKind classify(ResponseHeaders response) {
            return EchoDialect.INSTANCE.classify(response);
        }

        @Override
        public Optional<ReportedServerLoad> load(ResponseHeaders response) {
            return EchoDialect.INSTANCE.load(response);
        }

        @Override
        public ServerConditions conditions(ResponseHeaders response) {
            return EchoDialect.INSTANCE.conditions(response);
        }

        @Override
        public Optional<String> instance(ResponseHeaders response) {
            return EchoDialect.INSTANCE.instance(response);
        }
    }
}
