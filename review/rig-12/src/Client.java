import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one request on a connection of its own. */
final class Client {

    private static final int LONG_BODY_BYTES = 1 << 20;

    private static final int PIECE_BYTES = 64 << 10;

    private Client() {}

    /**
     * What a client has seen.
     *
     * @param status status of the response; 0 if there was none
     * @param text   body of the response, or why there was none
     * @param signed whether the response has a server's signature
     */
    record Answer(int status, String text, boolean signed) {

        @Override
        public String toString() {
            return status == 0 ? "no answer (" + text + ")" : status + (signed ? " signed" : "");
        }
    }

    static Answer send(
            String ip, int port, String method, String path, String host, String headers, byte[] body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + headers
                    + (body.length > 0 || !method.equals("GET") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            if (body.length > LONG_BODY_BYTES) {
                writeBeside(out, body);
            } else {
                out.write(body);
            }
            out.flush();
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            return answer == null
                    ? new Answer(0, "closed", false)
                    : new Answer(answer.status(), answer.text(), !answer.header("x-server-signature").isEmpty());
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e), false);
        }
    }

    // The answer may come before the body is sent, which then ends.
    private static void writeBeside(OutputStream out, byte[] body) {
        Thread writer = new Thread(() -> {
            try {
                for (int at = 0; at < body.length; at += PIECE_BYTES) {
                    out.write(body, at, Math.min(PIECE_BYTES, body.length - at));
                }
            } catch (IOException e) {
                // The node has answered and closed the connection.
            }
        });
        writer.setDaemon(true);
        writer.start();
    }

    static Answer request(Machine machine, String method, String path, String host, String attempt, int limitMillis) {
        return send(
                machine.ip, machine.outboundPort(), method, path, host,
                "X-Attempt-Id: " + attempt + "\r\nX-Timeout-Ms: " + limitMillis + "\r\n", new byte[0], limitMillis + 500);
    }
}
