package io.mustardusher.frame;

import java.io.IOException;

import io.mustardusher.generated.Gossip;
import io.mustardusher.generated.MemberRecord;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

import static com.google.common.truth.Truth.assertThat;

/** Guards against failures other than an {@link IOException}, which closes the connection, on bytes of any kind. */
class MessageCodecPropertyTest {

    private static final String SEED = "95";
    private static final int TRIES = 50_000;

    @Property(tries = TRIES, seed = SEED)
    void callsAreDecodedOrRejected(@ForAll @Size(max = 60) byte[] bytes) {
        decode(CallMessage.class, bytes);
    }

    @Property(tries = TRIES, seed = SEED)
    void gossipIsDecodedOrRejected(@ForAll @Size(max = 120) byte[] bytes) {
        decode(Gossip.class, bytes);
    }

    /** Mostly valid messages get further into the decoder than noise does. */
    @Property(tries = TRIES, seed = SEED)
    void damagedGossipIsDecodedOrRejected(@ForAll int position, @ForAll byte value) throws IOException {
        ByteBuf encoded = Unpooled.buffer();
        Gossip gossip = new Gossip().withFrom("node").withTarget("other");
        gossip.getMembers().add(new MemberRecord().withId("member"));
        MessageCodec.of(Gossip.class).encode(gossip, encoded);
        encoded.setByte(Math.floorMod(position, encoded.readableBytes()), value);
        byte[] damaged = new byte[encoded.readableBytes()];
        encoded.readBytes(damaged);
        decode(Gossip.class, damaged);
    }

    private static void decode(Class<?> type, byte[] bytes) {
        try {
            assertThat(MessageCodec.of(type).decode(Unpooled.wrappedBuffer(bytes)))
                    .isInstanceOf(type);
        } catch (IOException e) {
            // The connection is closed.
        }
    }
}
