package io.mustardusher.lab.profile;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StackSamplerTest {

    private final StackSampler sampler = new StackSampler("none");

    @Test
    void countsInnermostMethodOfProjectAndInnermostClass() {
        sampler.record(
                frame("java.util.HashMap", "get"),
                frame("io.mustardusher.entry.Router$Key", "find"),
                frame("io.mustardusher.entry.Entry", "serve"));
        assertThat(printed()).contains("100.0%  io.mustardusher.entry.Router.find");
        assertThat(printed()).contains("100.0%  java.util.HashMap");
        assertThat(printed()).doesNotContain("Entry.serve");
    }

    @Test
    void doesNotCountSleepingThread() {
        sampler.record(frame("io.netty.channel.epoll.Native", "epollWait0"));
        assertThat(printed()).isEmpty();
    }

    private String printed() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        sampler.print(new PrintStream(bytes));
        return bytes.toString();
    }

    private static StackTraceElement frame(String type, String method) {
        return new StackTraceElement(type, method, null, 0);
    }
}
