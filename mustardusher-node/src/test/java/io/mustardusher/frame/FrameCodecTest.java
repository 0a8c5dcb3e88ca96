package io.mustardusher.frame;

import java.util.List;
import java.util.Random;

import io.mustardusher.generated.FreshnessRecord;
import io.mustardusher.generated.Gossip;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.WitnessReply;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FrameCodecTest {

    @Test
    void decodesEncodedMessage() {
        MemberRecord member = new MemberRecord()
                .withId("a")
                .withBoot(7)
                .withState(MemberRecord.State.LEAVING)
                .withService("clips")
                .withServing(true);
        Gossip gossip = new Gossip().withFrom("a").withRevision(3).withMembers(List.of(member));
        Frame read = roundTrip(new Frame(FrameKind.GOSSIP, false, 42, gossip));
        Gossip message = (Gossip) read.message();
        assertThat(read.requestId()).isEqualTo(42);
        assertThat(message.getMembers().get(0).getState()).isEqualTo(MemberRecord.State.LEAVING);
        assertThat(message.getMembers().get(0).getService()).isEqualTo("clips");
        assertThat(message.getTarget()).isNull();
    }

    @Test
    void decodesExtremeNumbers() {
        WitnessReply reply =
                new WitnessReply().withVerdict(WitnessReply.Verdict.STALE_EPOCH).withCoveredSince(Long.MIN_VALUE);
        WitnessReply read = (WitnessReply)
                roundTrip(new Frame(FrameKind.WITNESS, true, 1, reply)).message();
        assertThat(read.getCoveredSince()).isEqualTo(Long.MIN_VALUE);
        assertThat(read.getVerdict()).isEqualTo(WitnessReply.Verdict.STALE_EPOCH);
    }

    // Guards against an age of 0, which is a fresh one, where the sender states none.
    @Test
    void ageIsAbsentUnlessStated() {
        FreshnessRecord read = (FreshnessRecord)
                roundTrip(new Frame(FrameKind.FRESHNESS, true, 1, new FreshnessRecord().withVersion(7)))
                        .message();
        assertThat(read.getVersion()).isEqualTo(7);
        assertThat(read.getAgeMillis()).isEqualTo(-1);
    }

    @Test
    void rejectsTooLargeFrameByItsLengthField() {
        EmbeddedChannel channel = new EmbeddedChannel(new FrameCodec());
        ByteBuf bytes = Unpooled.buffer().writeInt(FrameCodec.MAX_FRAME_BYTES + 1);
        assertThrows(DecoderException.class, () -> channel.writeInbound(bytes));
    }

    @Test
    void decodesFrameThatArrivesByteByByte() {
        EmbeddedChannel writer = new EmbeddedChannel(new FrameCodec());
        writer.writeOutbound(new Frame(FrameKind.GOSSIP, false, 9, new Gossip().withFrom("a")));
        ByteBuf bytes = writer.readOutbound();
        EmbeddedChannel reader = new EmbeddedChannel(new FrameCodec());
        while (bytes.isReadable()) {
            reader.writeInbound(bytes.readBytes(1));
        }
        Frame read = reader.readInbound();
        assertThat(read.requestId()).isEqualTo(9);
    }

    /** Guards against the answer to a call that is cut at any byte, by the end of its connection, and decoded. */
    @Test
    void answerThatIsCutIsNotDecoded() {
        byte[] frame = encodedAnswer();
        for (int cut = 0; cut < frame.length; cut++) {
            EmbeddedChannel channel = new EmbeddedChannel(new FrameCodec());
            channel.writeInbound(Unpooled.copiedBuffer(frame, 0, cut));
            channel.finish();
            assertThat((Object) channel.readInbound()).isNull();
        }
    }

    /** Guards against a shorter answer in a frame whose length fits the part of the message that it holds. */
    @Test
    void partOfAnswerIsNoAnswer() {
        byte[] frame = encodedAnswer();
        for (int cut = 10; cut < frame.length; cut++) {
            ByteBuf bytes = Unpooled.copiedBuffer(frame, 0, cut).setInt(0, cut - Integer.BYTES);
            EmbeddedChannel channel = new EmbeddedChannel(new FrameCodec());
            assertThrows(DecoderException.class, () -> channel.writeInbound(bytes));
        }
    }

    private static byte[] encodedAnswer() {
        EmbeddedChannel writer = new EmbeddedChannel(new FrameCodec());
        CallMessage answer = new CallMessage(Long.MIN_VALUE, "the head".getBytes(US_ASCII), new byte[300]);
        writer.writeOutbound(new Frame(FrameKind.CALL, true, 7, answer));
        ByteBuf bytes = writer.readOutbound();
        byte[] frame = new byte[bytes.readableBytes()];
        bytes.readBytes(frame);
        return frame;
    }

    /** Guards against failures other than a DecoderException on malformed frames. */
    @Test
    void randomBytesAreDecodedOrFailWithDecoderException() {
        for (long seed = 0; seed < 4_000; seed++) {
            Random random = new Random(seed);
            byte[] noise = new byte[10 + random.nextInt(60)];
            random.nextBytes(noise);
            noise[0] = 0;
            noise[1] = 0;
            noise[2] = 0;
            noise[3] = (byte) (6 + random.nextInt(noise.length - 9));
            noise[4] = (byte) random.nextInt(FrameKind.values().length + 1);
            EmbeddedChannel channel = new EmbeddedChannel(new FrameCodec());
            try {
                channel.writeInbound(Unpooled.wrappedBuffer(noise));
            } catch (DecoderException e) {
                assertThat(e).isNotNull();
            }
        }
    }

    private static Frame roundTrip(Frame frame) {
        EmbeddedChannel channel = new EmbeddedChannel(new FrameCodec());
        channel.writeOutbound(frame);
        ByteBuf bytes = channel.readOutbound();
        channel.writeInbound(bytes);
        return channel.readInbound();
    }
}
