package io.mustardusher.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller that sends requests byte by byte as a test writes them. */
public final class CallerSocket implements AutoCloseable {

    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final Socket socket;

    /**
     * Connects to a listener on the loopback address.
     *
     * @param port port of the listener
     * @throws IOException if it does not accept the connection
     */
    public CallerSocket(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    public void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.US_ASCII));
    }

    public void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    public boolean hasAnswer() throws IOException {
        return socket.getInputStream().available() > 0;
    }

    public String readUntil(String end) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (text.indexOf(end) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new AssertionError("the connection ended after: " + text);
            }
            text.append((char) next);
        }
        return text.toString();
    }

    public String readAll() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
