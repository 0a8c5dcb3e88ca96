package io.mustardusher.server;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ResponseStreamTest {

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ResponseStream stream =
            new ResponseStream(ResponseHeaders.of(HttpStatus.OK), channel, bytes -> EmbeddedResponse.ABSENT, () -> {});

    /** Guards against a call that waits on its connection until the caller of the one before takes its response. */
    @Test
    void connectionIsReadAgainBehindResponseThatIsNotTaken() {
        assertThat(stream.add(Unpooled.wrappedBuffer(new byte[200_000]))).isTrue();
        assertThat(channel.config().isAutoRead()).isFalse();
        stream.complete(HttpData.wrap(stream.heldBytes()));
        assertThat(channel.config().isAutoRead()).isTrue();
        assertThat(stream.response().aggregate().join().content().length()).isEqualTo(200_000);
    }
}
