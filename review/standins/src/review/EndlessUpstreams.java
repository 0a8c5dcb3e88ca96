package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;

/** Upstreams whose answers do not end, also those to health probes. */
final class EndlessUpstreams {

    /** What an upstream writes before and in its answer: a beginning, and a part that it repeats. */
    private record Answer(String start, byte[] repeated) {}

    /** Makes the bytes of an answer to a request. */
    private interface Maker {

        Answer answer(String id, String head);
    }

    private static final int PIECE_BYTES = 32 << 10;
    private static final int CALLERS = 60;

    private EndlessUpstreams() {}

    static void addTo(Map<String, EndlessForm> forms) {
        add(forms, "chunks-1", (id, head) -> chunked(head, 1));
        add(forms, "chunks-2", (id, head) -> chunked(head, 2));
        add(forms, "chunks-16", (id, head) -> chunked(head, 16));
        add(forms, "chunks-32k", (id, head) -> chunked(head, 32 << 10));
        add(forms, "no-length", (id, head) -> new Answer(head + "\r\n", new byte[PIECE_BYTES]));
        add(forms, "length-2g", (id, head) ->
                new Answer(head + "Content-Length: 2000000000\r\n\r\n", new byte[PIECE_BYTES]));
        String longId = "f".repeat(30_000);
        add(forms, "other-ids", (id, head) -> new Answer("", other(longId, 1)));
        add(forms, "other-ids-short", (id, head) -> new Answer("", other("ffff0000ffff0000", 200)));
        add(forms, "other-ids-bodies", (id, head) -> new Answer("", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ffff\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n".repeat(100).getBytes()));
        add(forms, "interim", (id, head) -> new Answer("", EndlessCallers.repeated("HTTP/1.1 102 Processing\r\n\r\n", PIECE_BYTES)));
        add(forms, "trailers", (id, head) -> new Answer(
                head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", EndlessCallers.repeated("a:b\r\n", PIECE_BYTES)));
        add(forms, "extension", (id, head) -> new Answer(
                head + "Transfer-Encoding: chunked\r\n\r\n1;", EndlessCallers.filled('a', PIECE_BYTES)));
        add(forms, "extensions", (id, head) -> new Answer(
                head + "Transfer-Encoding: chunked\r\n\r\n", ("1;" + "a".repeat(4000) + "\r\nx\r\n").repeat(8).getBytes()));
        add(forms, "head-line", (id, head) -> new Answer("HTTP/1.1 200 ", EndlessCallers.filled('a', PIECE_BYTES)));
        add(forms, "head-fields", (id, head) -> new Answer(head, EndlessCallers.repeated("a:\r\n", PIECE_BYTES)));
        add(forms, "noise", (id, head) -> new Answer("", EndlessCallers.filled('#', PIECE_BYTES)));
        add(forms, "behind-whole", (id, head) -> new Answer(
                head + "Content-Length: 0\r\n\r\n", EndlessCallers.filled('#', PIECE_BYTES)));
        add(forms, "second-answers", (id, head) -> new Answer("", (head + "Content-Length: 0\r\n\r\n").repeat(100).getBytes()));
        forms.put("answers-many-fields", run -> {
            // Complete answers whose heads are as long as a node takes, and short lines.
            String fields = "a:\r\n".repeat((30 << 10) / 4);
            run.troubledUpstreams().forEach(each -> each.behaviour = (upstream, exchange) -> Upstream.write(
                    exchange.out(), upstream.answerHead(exchange, 200) + fields + "Content-Length: 0\r\n\r\n"));
            callers().begin(run);
        });
        forms.put("answers-long-field", run -> {
            String field = "X-Note: " + "a".repeat(30_000) + "\r\n";
            run.troubledUpstreams().forEach(each -> each.behaviour = (upstream, exchange) -> Upstream.write(
                    exchange.out(), upstream.answerHead(exchange, 200) + field + "Content-Length: 0\r\n\r\n"));
            callers().begin(run);
        });
        forms.put("stalled-fields", run -> {
            String fields = "a:\r\n".repeat((30 << 10) / 4);
            run.troubledUpstreams().forEach(each -> each.behaviour = (upstream, exchange) -> {
                Upstream.write(exchange.out(), upstream.answerHead(exchange, 200) + fields);
                while (run.isTroubled()) {
                    Thread.sleep(50);
                }
                run.closeAtEnd(exchange.socket());
                exchange.socket().close();
            });
            EndlessCallers.exchanges(300, (id, text) -> EndlessCallers.head("GET", "/read/", id, "")).begin(run);
        });
    }

    private static void add(Map<String, EndlessForm> forms, String name, Maker maker) {
        forms.put("up-" + name, run -> {
            run.troubledUpstreams().forEach(each -> each.behaviour = behaviour(run, maker));
            callers().begin(run);
        });
        forms.put("health-" + name, run -> {
            run.troubledUpstreams().forEach(each -> each.healthBehaviour = behaviour(run, maker));
            callers().begin(run);
        });
    }

    private static EndlessForm callers() {
        return EndlessCallers.exchanges(CALLERS, (id, text) -> EndlessCallers.head("GET", "/read/", id, ""));
    }

    private static Answer chunked(String head, int bytes) {
        return new Answer(head + "Transfer-Encoding: chunked\r\n\r\n", EndlessPeers.chunks(bytes, PIECE_BYTES));
    }

    private static byte[] other(String id, int count) {
        return ("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                .repeat(count)
                .getBytes();
    }

    private static Upstream.Behaviour behaviour(EndlessBytes run, Maker maker) {
        return (upstream, exchange) -> {
            run.closeAtEnd(exchange.socket());
            String head = exchange.id() == null
                    ? "HTTP/1.1 200 OK\r\nX-Instance-Id: " + upstream.id + "\r\n"
                    : upstream.answerHead(exchange, 200);
            Answer answer = maker.answer(exchange.id(), head);
            OutputStream out = exchange.out();
            try {
                Upstream.write(out, answer.start);
                while (run.isTroubled()) {
                    run.pace(answer.repeated.length);
                    out.write(answer.repeated);
                }
            } catch (IOException e) {
                run.count("given up by the node");
            } finally {
                exchange.socket().close();
            }
        };
    }
}
