package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;

/** Callers of a service that send without end, stall, or do not take their answers. */
final class EndlessCallers {

    /** What a caller does with a connection. */
    interface Caller {

        void run(EndlessBytes run, Socket socket, String id) throws Exception;
    }

    private static final byte[] ZEROS = new byte[64 << 10];
    private static final int LARGE_BYTES = 6 << 20;

    private EndlessCallers() {}

    static void addTo(Map<String, EndlessForm> forms) {
        for (int count : new int[] {3, 12, 60}) {
            forms.put("body-" + count, callers(count, (run, socket, id) -> pourBody(run, socket, id, 64 << 10)));
        }
        for (int count : new int[] {3, 12, 60}) {
            forms.put("body-bytes-" + count, callers(count, (run, socket, id) -> pourBody(run, socket, id, 1)));
        }
        for (int count : new int[] {300, 600}) {
            forms.put("stalled-60k-" + count, callers(count, (run, socket, id) -> {
                write(run, socket, head("POST", "/pour/", id, "Content-Length: 65536\r\n"));
                write(run, socket, Arrays.copyOf(ZEROS, 60_000));
                run.count(awaitAnswer(socket));
            }));
        }
        forms.put("body-500k-60", run -> {
            slow(run, 1500);
            uploads(run, 60, 500_000, false);
        });
        forms.put("body-6m-12", run -> uploads(run, 12, LARGE_BYTES, false));
        forms.put("body-6m-60", run -> uploads(run, 60, LARGE_BYTES, false));
        forms.put("body-6m-slow-60", run -> {
            slow(run, 1500);
            uploads(run, 60, LARGE_BYTES, true);
        });
        for (int bytes : new int[] {500_000, LARGE_BYTES}) {
            forms.put("body-" + (bytes < 1 << 20 ? "500k" : "6m") + "-unread-60", run -> {
                // The upstreams take the head of a request and read nothing more.
                Upstream.BeforeBody stuck = (upstream, exchange) -> {
                    while (run.isTroubled()) {
                        Thread.sleep(50);
                    }
                    exchange.socket().close();
                };
                run.troubledUpstreams().forEach(upstream -> upstream.behaviour = stuck);
                uploads(run, 60, bytes, false);
            });
        }
        forms.put("body-500k-frozen-60", run -> {
            // The node beside an upstream stands still, as long as its peers take it for present and somewhat longer.
            Fleet.Machine machine = run.fleet.machines.get(2);
            run.fleet.signal(machine, "STOP");
            Fleet.daemon(() -> {
                Thread.sleep(3000);
                run.fleet.signal(machine, "CONT");
            });
            uploads(run, 60, 500_000, false);
        });
        forms.put("long-ids-100", exchanges(100, (id, text) -> head("GET", "/read/", id + text, "")));
        forms.put("long-paths-100", exchanges(100, (id, text) -> head("GET", "/read/" + text, id, "")));
        forms.put("long-unknown-paths-100", exchanges(100, (id, text) -> head("GET", "/none/" + text, id, "")));
        forms.put("long-headers-100", exchanges(100, (id, text) -> head("GET", "/read/", id, "X-Note: " + text + "\r\n")));
        forms.put("head-line-60", callers(60, (run, socket, id) -> {
            write(run, socket, "GET /");
            pour(run, socket, filled('a', 16 << 10));
        }));
        forms.put("head-field-60", callers(60, (run, socket, id) -> {
            write(run, socket, "GET /read/x HTTP/1.1\r\nX-Note: ");
            pour(run, socket, filled('a', 16 << 10));
        }));
        forms.put("head-fields-60", callers(60, (run, socket, id) -> {
            write(run, socket, "GET /read/x HTTP/1.1\r\n");
            pour(run, socket, repeated("a:b\r\n", 16 << 10));
        }));
        for (int count : new int[] {60, 300}) {
            forms.put("head-fields-stalled-" + count, callers(count, (run, socket, id) -> {
                write(run, socket, "GET /read/x HTTP/1.1\r\n");
                write(run, socket, repeated("a:\r\n", 60 << 10));
                run.count(awaitAnswer(socket));
            }));
        }
        forms.put("head-field-stalled-600", callers(600, (run, socket, id) -> {
            write(run, socket, "GET /read/x HTTP/1.1\r\nX-Note: ");
            write(run, socket, filled('a', 60 << 10));
            run.count(awaitAnswer(socket));
        }));
        forms.put("continue-600", callers(600, (run, socket, id) -> {
            write(run, socket, head("POST", "/pour/", id, "Content-Length: 6000000\r\nExpect: 100-continue\r\n"));
            run.count(awaitAnswer(socket));
            run.count(awaitAnswer(socket));
        }));
        forms.put("pipelined-60k-60", callers(60, (run, socket, id) -> pipeline(run, socket, id, 60_000, "")));
        forms.put("pipelined-keyed-60", callers(60, (run, socket, id) -> pipeline(run, socket, id, 60_000, "key")));
        forms.put("pipelined-many-60", callers(60, (run, socket, id) -> {
            StringBuilder many = new StringBuilder();
            for (int i = 0; i < 500; i++) {
                many.append(head("GET", "/read/", id + "-" + i, ""));
            }
            write(run, socket, many.toString());
            pour(run, socket, many.toString().getBytes());
        }));
        forms.put("trailers-60", callers(60, (run, socket, id) -> {
            write(run, socket, head("POST", "/pour/", id, "Transfer-Encoding: chunked\r\n"));
            write(run, socket, "1\r\nx\r\n0\r\n");
            pour(run, socket, repeated("a:b\r\n", 16 << 10));
        }));
        forms.put("extensions-60", callers(60, (run, socket, id) -> {
            write(run, socket, head("POST", "/pour/", id, "Transfer-Encoding: chunked\r\n"));
            write(run, socket, "1;");
            pour(run, socket, filled('a', 16 << 10));
        }));
        forms.put("blank-lines-60", callers(60, (run, socket, id) -> pour(run, socket, repeated("\r\n", 16 << 10))));
        forms.put("answers-6m-untaken-60", run -> {
            largeAnswers(run);
            callers(60, (ran, socket, id) -> {
                socket.setReceiveBufferSize(4096);
                write(ran, socket, head("GET", "/read/", id, ""));
                while (ran.isTroubled()) {
                    Thread.sleep(50);
                }
            }).begin(run);
        });
        forms.put("answers-6m-slow-60", run -> {
            largeAnswers(run);
            callers(60, (ran, socket, id) -> {
                write(ran, socket, head("GET", "/read/", id, ""));
                byte[] buffer = new byte[4096];
                InputStream in = socket.getInputStream();
                for (int read = in.read(buffer); read >= 0 && ran.isTroubled(); read = in.read(buffer)) {
                    Thread.sleep(20);
                }
            }).begin(run);
        });
        forms.put("answers-6m-repeated-60", run -> {
            largeAnswers(run);
            callers(60, (ran, socket, id) -> {
                // Stays open after the head has arrived, and asks again on a further connection.
                write(ran, socket, head("GET", "/read/", id, ""));
                ran.count(awaitAnswer(socket));
                Fleet.daemon(() -> {
                    while (ran.isTroubled()) {
                        Thread.sleep(50);
                    }
                    ran.forget(socket);
                });
            }, false).begin(run);
        });
        forms.put("answers-900k-pipelined-60", run -> {
            answers(run, 900_000);
            callers(60, (ran, socket, id) -> {
                StringBuilder many = new StringBuilder();
                for (int i = 0; i < 16; i++) {
                    many.append(head("GET", "/read/", id + "-" + i, ""));
                }
                write(ran, socket, many.toString());
                while (ran.isTroubled()) {
                    Thread.sleep(50);
                }
            }).begin(run);
        });
    }

    interface Text {

        String request(String id, String text);
    }

    /** Callers that take all their answers and whose requests are as long as the limits allow. */
    static EndlessForm exchanges(int count, Text text) {
        String padding = "a".repeat(15_000);
        return callers(count, (run, socket, id) -> {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int number = 0; run.isTroubled(); number++) {
                write(run, socket, text.request(id + "-" + number, padding));
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    run.count("closed");
                    return;
                }
                Http.readBody(in, head);
                run.count("answered " + head.status());
                if ("close".equalsIgnoreCase(head.field("Connection"))) {
                    return;
                }
            }
        });
    }

    private static EndlessForm callers(int count, Caller caller) {
        return callers(count, caller, true);
    }

    private static EndlessForm callers(int count, Caller caller, boolean closing) {
        return run -> begin(run, count, caller, closing);
    }

    private static void begin(EndlessBytes run, int count, Caller caller, boolean closing) {
        for (int number = 0; number < count; number++) {
            Fleet.Machine machine = run.fleet.machines.get(number % run.fleet.machines.size());
            Random random = run.random(number);
            Fleet.daemon(() -> {
                while (run.isTroubled()) {
                    String id = String.format("%016x", random.nextLong());
                    Socket socket = null;
                    try {
                        socket = run.connect(machine.ip, machine.outboundPort);
                        caller.run(run, socket, id);
                    } catch (IOException e) {
                        run.count(answerOf(socket));
                        Thread.sleep(10);
                    } finally {
                        if (socket != null && closing) {
                            run.forget(socket);
                        }
                    }
                }
            });
        }
    }

    private static String answerOf(Socket socket) {
        try {
            return socket == null ? "not connected" : "broken off, " + awaitAnswer(socket);
        } catch (IOException e) {
            return "broken off";
        }
    }

    /** Waits for the head of an answer. */
    private static String awaitAnswer(Socket socket) throws IOException {
        Http.Head head = Http.readHead(socket.getInputStream());
        return head == null ? "closed" : "answered " + head.status();
    }

    static String head(String method, String path, String id, String fields) {
        return method + " " + path + (path.endsWith("/") ? id.substring(0, 16) : "") + " HTTP/1.1\r\nHost: "
                + Manifest.HOST + "\r\nX-Attempt-Id: " + id + "\r\nX-Timeout-Ms: " + EndlessBytes.TIMEOUT_MILLIS
                + "\r\n" + fields + "\r\n";
    }

    private static void write(EndlessBytes run, Socket socket, String text) throws IOException {
        write(run, socket, text.getBytes());
    }

    private static void write(EndlessBytes run, Socket socket, byte[] bytes) throws IOException {
        run.pace(bytes.length);
        OutputStream out = socket.getOutputStream();
        out.write(bytes);
        out.flush();
    }

    private static void pourBody(EndlessBytes run, Socket socket, String id, int chunkBytes) throws IOException {
        write(run, socket, head("POST", "/pour/", id, "Transfer-Encoding: chunked\r\n"));
        pour(run, socket, EndlessPeers.chunks(chunkBytes, 64 << 10));
    }

    /** Writes bytes until the node answers or the trouble ends. */
    private static void pour(EndlessBytes run, Socket socket, byte[] bytes) throws IOException {
        while (run.isTroubled()) {
            write(run, socket, bytes);
            if (socket.getInputStream().available() > 0) {
                run.count(awaitAnswer(socket));
                return;
            }
        }
    }

    private static void pipeline(EndlessBytes run, Socket socket, String id, int bodyBytes, String key)
            throws IOException {
        for (int i = 0; i < 16; i++) {
            String fields = "Content-Length: " + bodyBytes + "\r\n"
                    + (key.isEmpty() ? "" : "Idempotency-Key: " + key + id + i + "\r\n");
            write(run, socket, head("POST", "/pour/", id + "-" + i, fields));
            write(run, socket, Arrays.copyOf(ZEROS, bodyBytes));
        }
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (int i = 0; i < 16; i++) {
            Http.Head head = Http.readHead(in);
            if (head == null) {
                run.count("closed");
                return;
            }
            Http.readBody(in, head);
            run.count("answered " + head.status());
        }
    }

    private static void uploads(EndlessBytes run, int count, int bytes, boolean chunked) {
        begin(run, count, (ran, socket, id) -> {
            write(ran, socket, head("POST", "/pour/", id,
                    chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + bytes + "\r\n"));
            byte[] chunk = EndlessPeers.chunks(32 << 10, 32 << 10);
            for (int left = bytes; left > 0; left -= 32 << 10) {
                write(ran, socket, chunked ? chunk : Arrays.copyOf(ZEROS, Math.min(left, 32 << 10)));
                if (socket.getInputStream().available() > 0) {
                    break;
                }
            }
            if (chunked) {
                write(ran, socket, "0\r\n\r\n");
            }
            ran.count(awaitAnswer(socket));
        }, true);
    }

    /** Lets the upstreams of the troubled service take their time after a body. */
    private static void slow(EndlessBytes run, long millis) {
        Upstream.BeforeBody slow = (upstream, exchange) -> {
            EndlessPeers.drainBody(exchange.in(), exchange.head());
            Thread.sleep(millis / 2 + ThreadLocalRandom.current().nextLong(millis));
            upstream.answer(exchange, 200, "done".getBytes());
        };
        run.troubledUpstreams().forEach(upstream -> upstream.behaviour = slow);
    }

    private static void largeAnswers(EndlessBytes run) {
        answers(run, LARGE_BYTES);
    }

    private static void answers(EndlessBytes run, int bytes) {
        byte[] body = new byte[bytes];
        run.troubledUpstreams()
                .forEach(each -> each.behaviour = (upstream, exchange) -> upstream.answer(exchange, 200, body));
    }

    static byte[] filled(char c, int length) {
        byte[] bytes = new byte[length];
        Arrays.fill(bytes, (byte) c);
        return bytes;
    }

    static byte[] repeated(String text, int length) {
        return text.repeat(length / text.length()).getBytes();
    }
}
