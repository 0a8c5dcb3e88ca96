package io.mustardusher.server;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.mustardusher.generated.Announcement;

/** A server that writes what a script says for each request that it receives, whether or not that is a response. */
final class ScriptedServer implements AutoCloseable {

    /** Ends a script whose connection is closed in an orderly way. */
    static final String CLOSE = "\u0000close";

    /** Ends a script whose connection is reset. */
    static final String RESET = "\u0000reset";

    private static final Pattern LENGTH = Pattern.compile("\r\ncontent-length: (\\d+)");

    private final AtomicInteger connections = new AtomicInteger();
    private final ServerSocket socket;

    ScriptedServer() throws IOException {
        socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    }

    Announcement announcement() {
        return new Announcement()
                .withHost(socket.getInetAddress().getHostAddress())
                .withPort(socket.getLocalPort())
                .withInstance("i-1");
    }

    /** Returns the number of connections that were accepted. */
    int connections() {
        return connections.get();
    }

    /** Starts to accept connections. */
    void serve(Script script) {
        Thread server = new Thread(() -> {
            AtomicInteger number = new AtomicInteger();
            try {
                while (true) {
                    Socket accepted = socket.accept();
                    connections.incrementAndGet();
                    new Thread(() -> serveConnection(accepted, script, number)).start();
                }
            } catch (IOException e) {
                // The test has closed the socket.
            }
        });
        server.setDaemon(true);
        server.start();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private static void serveConnection(Socket socket, Script script, AtomicInteger number) {
        try (socket) {
            while (true) {
                String request = readHead(socket.getInputStream());
                if (request.isEmpty()) {
                    return;
                }
                if (request.contains("\r\ntransfer-encoding: chunked\r\n")) {
                    skipChunks(socket.getInputStream());
                } else {
                    socket.getInputStream().skipNBytes(length(request));
                }
                String id = request.replaceAll("(?s).*\r\nid: ([a-z]+)\r\n.*", "$1");
                String text = script.response(number.getAndIncrement(), id);
                String bytes = text.replace(CLOSE, "").replace(RESET, "");
                socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
                if (text.endsWith(RESET)) {
                    socket.setSoLinger(true, 0);
                }
                if (text.endsWith(CLOSE) || text.endsWith(RESET)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The link has closed the connection.
        }
    }

    private static long length(String request) {
        Matcher length = LENGTH.matcher(request);
        return length.find() ? Long.parseLong(length.group(1)) : 0;
    }

    private static void skipChunks(InputStream in) throws IOException {
        long size;
        do {
            String line = readUntil("\r\n", in);
            size = line.isEmpty() ? 0 : Long.parseLong(line.strip(), 16);
            in.skipNBytes(size + 2);
        } while (size > 0);
    }

    private static String readHead(InputStream in) throws IOException {
        return readUntil("\r\n\r\n", in);
    }

    private static String readUntil(String end, InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(end) < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** Says what the server writes. */
    interface Script {

        /**
         * Returns what the server writes after it has read a request.
         *
         * @param number number of the request among those of all connections, from 0
         * @param id     identifier of the request
         * @return the bytes, as characters
         */
        String response(int number, String id);
    }
}
