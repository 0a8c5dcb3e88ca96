package io.mustardusher.gate;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import io.mustardusher.admission.AdmissionListener;
import io.mustardusher.admission.Ticket;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.health.SuspectTable;
import io.mustardusher.result.ResultCode;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashDetectorTest {

    private static final long LOST_FINGERPRINT = 1;
    private static final long ANSWERED_FINGERPRINT = 2;

    /** The check of a fast executor ends before its caller can register a listener. */
    @Test
    void returnsResultOfCheckThatEndsImmediately() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            CrashDetector detector = new CrashDetector(0, () -> address, Runnable::run, report -> {}, () -> {});
            for (int i = 0; i < 2; i++) {
                assertThat(detector.checkAfterLoss(ticket()).join().isEmpty()).isTrue();
            }
        }
    }

    /** Guards against a crash that is missed because the result of an earlier check is still being passed on. */
    @Test
    void lossAfterCheckStartsAnotherCheck() throws IOException {
        Deque<Runnable> checks = new ArrayDeque<>();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            CrashDetector detector = new CrashDetector(0, () -> address, checks::add, report -> {}, () -> {});
            CompletableFuture<OptionalLong> second = detector.checkAfterLoss(ticket())
                    .thenCompose(first -> {
                        closeUnchecked(server);
                        return detector.checkAfterLoss(ticket());
                    });
            while (!checks.isEmpty()) {
                checks.removeFirst().run();
            }
            assertThat(second.join().isPresent()).isTrue();
        }
    }

    private static void closeUnchecked(ServerSocket server) {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // Guards against a call that is refused everywhere because its server, which went on, accepted no connections at
    // times.
    @Test
    @Tag("known-red")
    void callThatWasAnsweredIsNoSuspectOfPausesOfListener() throws IOException {
        SuspectTable suspects = new SuspectTable(new Clock.Manual(), SuspectTable.Policy.REJECT_AFTER_THREE_CRASHES);
        InetSocketAddress address;
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        }
        CrashDetector detector = new CrashDetector(
                0,
                () -> address,
                Runnable::run,
                report -> suspects.add(report.fingerprint(), report.crashId()),
                () -> {});
        for (int i = 0; i < 3; i++) {
            Ticket lost = ticket();
            Ticket answered = ticket();
            detector.recordDispatch(lost, LOST_FINGERPRINT);
            detector.recordDispatch(answered, ANSWERED_FINGERPRINT);
            detector.checkAfterLoss(lost).join();
            detector.recordEnd(lost);
            detector.recordEnd(answered);
            detector.recordRecovery();
        }
        assertThat(suspects.actionFor(ANSWERED_FINGERPRINT)).isNotEqualTo(SuspectTable.Action.REJECT);
    }

    private static Ticket ticket() {
        AdmissionListener listener = new AdmissionListener() {
            @Override
            public void onAdmitted() {
                throw new AssertionError("the call is not offered to an admission");
            }

            @Override
            public void onRejected(ResultCode code) {
                throw new AssertionError("the call is not offered to an admission");
            }
        };
        return new Ticket("owner", ServiceClass.STANDARD, 0, false, listener);
    }
}
