package io.mustardusher.gate;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.mustardusher.admission.Ticket;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.log.NodeLog;

/**
 * Tells a crash of the backend server from a lost connection: after a loss it tries to connect, and a refused
 * connection is a crash. Every call that was in flight at the first loss is then a suspect of that one crash.
 */
public final class CrashDetector {

    /** Time allowed to connect, in milliseconds. */
    private static final int CONNECT_MILLIS = 200;

    /** Address of the backend server. */
    private final Supplier<InetSocketAddress> address;

    /** Runs the blocking connection attempts. */
    private final Executor worker;

    /** Told of each suspect. */
    private final Consumer<SuspectTable.Sighting> suspects;

    /** Told when the server has crashed. */
    private final Runnable onCrash;

    /** Fingerprints of the calls in flight. */
    private final Map<Ticket, Long> inFlight = new ConcurrentHashMap<>();

    /** First part of the numbers of crashes, different for each process. */
    private final long origin;

    /** Crashes so far. */
    private volatile int crashes;

    /** The examination under way, or that of a crash from which the server has not recovered; else {@code null}. */
    private CompletableFuture<OptionalLong> examination;

    /**
     * Creates a detector.
     *
     * @param origin   first part of the numbers of crashes, different for each process
     * @param address  address of the backend server
     * @param worker   runs the blocking connection attempts
     * @param suspects told of each suspect
     * @param onCrash  told when the server has crashed
     */
    public CrashDetector(
            long origin,
            Supplier<InetSocketAddress> address,
            Executor worker,
            Consumer<SuspectTable.Sighting> suspects,
            Runnable onCrash) {
        this.origin = origin;
        this.address = address;
        this.worker = worker;
        this.suspects = suspects;
        this.onCrash = onCrash;
    }

    /**
     * Notes a call that is dispatched.
     *
     * @param ticket      the call
     * @param fingerprint its fingerprint
     */
    void dispatched(Ticket ticket, long fingerprint) {
        inFlight.put(ticket, fingerprint);
    }

    /**
     * Notes a call that ended.
     *
     * @param ticket the call
     */
    void ended(Ticket ticket) {
        inFlight.remove(ticket);
    }

    /**
     * Examines the server after a call lost its connection. Calls lost while an examination runs share its result.
     *
     * @param ticket the call
     * @return number of the crash, or empty if the server still accepts connections
     */
    synchronized CompletableFuture<OptionalLong> lost(Ticket ticket) {
        if (examination == null) {
            List<Long> present = new ArrayList<>(inFlight.values());
            examination = CompletableFuture.supplyAsync(() -> examine(present), worker);
            examination.thenAccept(this::finish);
        }
        return examination;
    }

    /** Notes that the server serves again. */
    synchronized void recovered() {
        if (examination != null && examination.isDone()) {
            examination = null;
        }
    }

    /**
     * Ends an examination that found no crash. One that found a crash is kept, so that calls lost in that crash get
     * its number however late they notice.
     *
     * @param crash number of the crash, or empty
     */
    private synchronized void finish(OptionalLong crash) {
        if (crash.isEmpty()) {
            examination = null;
        }
    }

    /**
     * Examines the server.
     *
     * @param present fingerprints of the calls that were in flight
     * @return number of the crash, or empty
     */
    private OptionalLong examine(List<Long> present) {
        if (accepts()) {
            return OptionalLong.empty();
        }
        crashes++;
        long crash = origin + crashes;
        NodeLog.LOG.serverCrashed(crash, present.size());
        present.forEach(fingerprint -> suspects.accept(new SuspectTable.Sighting(fingerprint, crash)));
        onCrash.run();
        return OptionalLong.of(crash);
    }

    /**
     * Tries to connect.
     *
     * @return {@code true} if the server accepts the connection
     */
    private boolean accepts() {
        try (Socket socket = new Socket()) {
            socket.connect(address.get(), CONNECT_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
