import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client's connection. */
final class Client implements AutoCloseable {

    final Socket socket = new Socket();
    final BufferedInputStream in;

    Client(String address) throws IOException {
        int colon = address.indexOf(':');
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    Http.Message receive(long timeoutMillis) throws IOException {
        socket.setSoTimeout((int) Math.max(1, timeoutMillis));
        return Http.read(in, true);
    }

    static Http.Message get(String address, String path) throws IOException {
        try (Client client = new Client(address)) {
            client.send(Http.ascii("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n"));
            return client.receive(1_000);
        }
    }

    static String head(String method, String target, String host, String id, long timeoutMillis, String more) {
        return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Timeout-Ms: "
                + timeoutMillis + "\r\n" + more + "\r\n";
    }

    /** Sends a request over a new connection and returns "STATUS body", or how it ended. */
    static String call(String address, byte[] request, long timeoutMillis) {
        try (Client client = new Client(address)) {
            client.send(request);
            Http.Message answer = client.receive(timeoutMillis);
            return answer.status() + " " + new String(answer.body, java.nio.charset.StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return "none, " + e;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
