package io.mustardusher.frame;

import java.io.IOException;
import java.util.Arrays;
import java.util.Random;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static com.google.common.truth.Truth.assertThat;

class CallMessageCodecTest {

    /** Nodes of the previous version encode and decode by reflection; both are up at once during an upgrade. */
    private final ObjectMapper previousVersion =
            new ObjectMapper(new MessagePackFactory()).setAnnotationIntrospector(new JsonArrayFormat());

    @Test
    void understandsPreviousVersionAndIsUnderstoodByIt() throws IOException {
        Random random = new Random(7);
        for (int size : new int[] {0, 1, 31, 32, 255, 256, 65_535, 65_536, 100_000}) {
            byte[] body = new byte[size];
            random.nextBytes(body);
            byte[] head = size % 2 == 0 ? null : Arrays.copyOf(body, size / 2);
            CallMessage message = new CallMessage(random.nextLong() >> random.nextInt(64), head, body);
            ByteBuf encoded = Unpooled.buffer();
            CallMessageCodec.encode(message, encoded);
            assertEqual(previousVersion.readValue(ByteBufUtil.getBytes(encoded), CallMessage.class), message);
            ByteBuf previous = Unpooled.wrappedBuffer(previousVersion.writeValueAsBytes(message));
            assertEqual(CallMessageCodec.decode(previous), message);
        }
    }

    private static void assertEqual(CallMessage actual, CallMessage expected) {
        assertThat(actual.call()).isEqualTo(expected.call());
        assertThat(actual.head()).isEqualTo(expected.head());
        assertThat(actual.body()).isEqualTo(expected.body());
    }
}
