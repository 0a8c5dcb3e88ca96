package io.mustardusher.server;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.Random;

import com.sun.management.ThreadMXBean;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ResponseBufferTest {

    private final ResponseBuffer.Budget budget = new ResponseBuffer.Budget();
    private final ResponseBuffer buffer = new ResponseBuffer(budget);

    /** Guards against a node that runs out of memory because a server sends its body in chunks of one byte. */
    @Test
    void smallPartsTakeNoMoreMemoryThanIsReserved() {
        ByteBuf part = Unpooled.copiedBuffer("x", StandardCharsets.US_ASCII);
        assertThat(buffer.add(part)).isTrue();
        long before = allocatedBytes();
        for (int i = 0; i < 1_000_000; i++) {
            buffer.add(part);
        }
        assertThat(allocatedBytes() - before).isAtMost(budget.reservedBytes() + (1 << 20));
    }

    @Test
    void partsOfAnySizeAreJoinedInOrder() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            ResponseBuffer joined = new ResponseBuffer(budget);
            StringBuilder expected = new StringBuilder();
            for (int i = random.nextInt(40); i > 0; i--) {
                String part = Character.toString('a' + i % 26).repeat(random.nextInt(1 << random.nextInt(18)));
                expected.append(part);
                assertThat(joined.add(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII)))
                        .isTrue();
            }
            assertThat(joined.complete().toStringUtf8()).isEqualTo(expected.toString());
            assertThat(budget.reservedBytes()).isEqualTo(0);
        }
    }

    private static long allocatedBytes() {
        return ((ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }
}
