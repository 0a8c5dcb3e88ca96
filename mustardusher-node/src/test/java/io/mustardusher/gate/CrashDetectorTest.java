package io.mustardusher.gate;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

import io.mustardusher.admission.AdmissionListener;
import io.mustardusher.admission.Ticket;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.result.ResultCode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class CrashDetectorTest {

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
