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
 * Distinguishes a crash of the backend server from a lost connection. After a connection loss it tries to connect, and
 * a failed attempt counts as a crash. Every call in flight at the first loss is then reported as a suspect of that
 * crash.
 */
public final class CrashDetector {

    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    private final Supplier<InetSocketAddress> address;

    private final Executor connectExecutor;

    private final Consumer<SuspectTable.SuspectReport> suspectListener;

    private final Runnable crashListener;

    /** Fingerprints of the calls in flight. */
    private final Map<Ticket, Long> inFlight = new ConcurrentHashMap<>();

    /** Offset of the crash ids, different for each process. */
    private final long crashIdBase;

    private volatile int crashCount;

    /** The last check; {@code null} before the first, and after the server has recovered. */
    private CompletableFuture<OptionalLong> crashCheck;

    /**
     * Creates a crash detector without calls in flight.
     *
     * @param crashIdBase     offset of the crash ids, different for each process
     * @param address         address of the backend server
     * @param connectExecutor runs the blocking connection attempts
     * @param suspectListener receives each suspect of a crash
     * @param crashListener   runs after each crash
     */
    public CrashDetector(
            long crashIdBase,
            Supplier<InetSocketAddress> address,
            Executor connectExecutor,
            Consumer<SuspectTable.SuspectReport> suspectListener,
            Runnable crashListener) {
        this.crashIdBase = crashIdBase;
        this.address = address;
        this.connectExecutor = connectExecutor;
        this.suspectListener = suspectListener;
        this.crashListener = crashListener;
    }

    /**
     * Records a call as in flight.
     *
     * @param ticket      ticket of the call
     * @param fingerprint fingerprint of the call
     */
    void recordDispatch(Ticket ticket, long fingerprint) {
        inFlight.put(ticket, fingerprint);
    }

    /**
     * Removes a call from those in flight.
     *
     * @param ticket ticket of the call
     */
    void recordEnd(Ticket ticket) {
        inFlight.remove(ticket);
    }

    /**
     * Checks whether the server has crashed, after a call lost its connection. Calls that lose their connection during
     * a check share its result.
     *
     * @param ticket ticket of the call
     * @return id of the crash, or empty if the server still accepts connections
     */
    synchronized CompletableFuture<OptionalLong> checkAfterLoss(Ticket ticket) {
        if (crashCheck == null || hasFoundNoCrash(crashCheck)) {
            List<Long> fingerprints = new ArrayList<>(inFlight.values());
            crashCheck = CompletableFuture.supplyAsync(() -> check(fingerprints), connectExecutor);
        }
        return crashCheck;
    }

    /** Discards the crash found last, since the server is serving again. */
    synchronized void recordRecovery() {
        if (crashCheck != null && crashCheck.isDone()) {
            crashCheck = null;
        }
    }

    // A check that found a crash is kept, so that calls which detect their loss late receive the id of that crash.
    private static boolean hasFoundNoCrash(CompletableFuture<OptionalLong> check) {
        return check.isDone()
                && (check.isCompletedExceptionally() || check.join().isEmpty());
    }

    private OptionalLong check(List<Long> fingerprints) {
        if (acceptsConnections()) {
            return OptionalLong.empty();
        }
        crashCount++;
        long crashId = crashIdBase + crashCount;
        NodeLog.LOG.serverCrashed(crashId, fingerprints.size());
        fingerprints.forEach(
                fingerprint -> suspectListener.accept(new SuspectTable.SuspectReport(fingerprint, crashId)));
        crashListener.run();
        return OptionalLong.of(crashId);
    }

    private boolean acceptsConnections() {
        try (Socket socket = new Socket()) {
            socket.connect(address.get(), CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
