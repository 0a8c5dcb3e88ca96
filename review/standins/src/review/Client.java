package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Client on a machine: sends requests to the outbound address of its node over one kept connection. */
final class Client implements AutoCloseable {

    /** Answer to a request; status 0 if the connection ended, -1 if nothing arrived in time. */
    record Answer(int status, Http.Head head, byte[] body, String problem) {

        String describe() {
            return status > 0 ? status + ", " + body.length + " bytes" : problem;
        }
    }

    private static final int PIECE_BYTES = 16 << 10;

    private static final ScheduledExecutorService TIMERS = Executors.newScheduledThreadPool(1, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    final Fleet.Machine machine;
    private final Socket socket;
    private final InputStream in;
    private final OutputStream out;

    /** How long the client waits beyond the time that it names in the request. */
    int patienceMillis = 3000;

    /** Speed at which bodies of known length are sent. */
    double bytesPerSecond = Double.MAX_VALUE;

    /** Header fields of each request, in addition to those that every request has. */
    String extraFields = "";

    /** Whether the time of a request has passed, also while it was being written. */
    private volatile boolean expired;

    Client(Fleet.Machine machine) throws IOException {
        this.machine = machine;
        socket = new Socket();
        socket.connect(machine.callerAddress, 1000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Sends a request without a body and waits for its answer. */
    Answer get(String path, String id, int timeoutMillis) {
        return send("GET", path, id, timeoutMillis, null, false);
    }

    /** Sends a request and waits for its answer. */
    Answer send(String method, String path, String id, int timeoutMillis, byte[] body, boolean chunked) {
        Future<?> giveUp = null;
        try {
            socket.setSoTimeout(timeoutMillis + patienceMillis);
            giveUp = TIMERS.schedule(() -> {
                expired = true;
                socket.close();
                return null;
            }, timeoutMillis + patienceMillis, TimeUnit.MILLISECONDS);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + Manifest.HOST + "\r\nX-Attempt-Id: " + id
                    + "\r\nX-Timeout-Ms: " + timeoutMillis + "\r\n" + extraFields;
            if (body == null) {
                Upstream.write(out, head + "\r\n");
            } else if (chunked) {
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                bytes.writeBytes((head + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                bytes.writeBytes((Integer.toHexString(body.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                bytes.writeBytes(body);
                bytes.writeBytes("\r\n0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes.toByteArray());
            } else {
                Upstream.write(out, head + "Content-Length: " + body.length + "\r\n\r\n");
                writePaced(body);
            }
            out.flush();
        } catch (IOException e) {
            // The node may have answered before it has read the body.
        }
        Answer answer = receive();
        if (giveUp != null) {
            giveUp.cancel(false);
        }
        return expired ? new Answer(-1, null, new byte[0], "no answer in time") : answer;
    }

    /** Returns whether bytes have arrived that belong to no request. */
    boolean hasBytes() throws IOException {
        return in.available() > 0;
    }

    private void writePaced(byte[] body) throws IOException {
        long start = System.nanoTime();
        for (int at = 0; at < body.length; at += PIECE_BYTES) {
            long due = start + (long) (at * 1e9 / bytesPerSecond);
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            out.write(body, at, Math.min(PIECE_BYTES, body.length - at));
        }
    }

    private Answer receive() {
        try {
            Http.Head answer = Http.readHead(in);
            while (answer != null && answer.status() == 100) {
                answer = Http.readHead(in);
            }
            if (answer == null) {
                return new Answer(0, null, new byte[0], "the connection was closed without an answer");
            }
            return new Answer(answer.status(), answer, Http.readBody(in, answer), null);
        } catch (java.net.SocketTimeoutException e) {
            return new Answer(-1, null, new byte[0], "no answer in time");
        } catch (EOFException e) {
            return new Answer(0, null, new byte[0], "the answer was cut short: " + e.getMessage());
        } catch (IOException e) {
            return new Answer(0, null, new byte[0], "the connection was lost: " + e.getMessage());
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
