package io.mustardusher.frame;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.mustardusher.generated.DepartureRecord;
import io.mustardusher.generated.EvacuationRecord;
import io.mustardusher.generated.Gossip;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.SuspectRecord;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes and decodes the messages of one type as MessagePack arrays in the order of their schema. */
interface MessageCodec {

    /**
     * Encodes a message.
     *
     * @param message the message
     * @param out     receives the bytes
     * @throws IOException if the message cannot be encoded
     */
    void encode(Object message, ByteBuf out) throws IOException;

    /**
     * Decodes a message.
     *
     * @param in the encoded message; all of it is read
     * @return the message
     * @throws IOException if the bytes are no message of this type
     */
    Object decode(ByteBuf in) throws IOException;

    /**
     * Returns the codec of a type.
     *
     * @param type type of the messages
     * @return the codec
     */
    static MessageCodec of(Class<?> type) {
        if (type == CallMessage.class) {
            return ForCalls.INSTANCE;
        }
        if (type == Gossip.class) {
            return ForGossip.INSTANCE;
        }
        return SmallMessageCodec.find(type).orElseGet(() -> new ForSchema(type));
    }

    /**
     * Codec by reflection, for messages that are rare.
     *
     * @param type type of the messages
     */
    record ForSchema(Class<?> type) implements MessageCodec {

        @Override
        public void encode(Object message, ByteBuf out) throws IOException {
            try (OutputStream stream = new ByteBufOutputStream(out)) {
                MapperHolder.MAPPER.writeValue(stream, message);
            }
        }

        @Override
        public Object decode(ByteBuf in) throws IOException {
            try (InputStream stream = new ByteBufInputStream(in)) {
                return MapperHolder.MAPPER.readValue(stream, type);
            }
        }

        /** Holds the mapper, whose initialization is slow, so that it takes place at the first rare message. */
        private static final class MapperHolder {

            private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
                    .setAnnotationIntrospector(new JsonArrayFormat())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        }
    }

    /** Codec of calls, which most frames are. */
    enum ForCalls implements MessageCodec {
        /** The only instance. */
        INSTANCE;

        private static final int FIELDS = 3;

        /** Size of a number and of the prefixes of array, head and body, in bytes, at most. */
        private static final int OVERHEAD_BYTES = 24;

        @Override
        public void encode(Object message, ByteBuf out) throws IOException {
            CallMessage call = (CallMessage) message;
            byte[] head = call.head();
            int headBytes = head == null ? 0 : head.length;
            try (MessagePacker packer = packer(out, OVERHEAD_BYTES + headBytes + call.body().length)) {
                packer.packArrayHeader(FIELDS);
                packer.packLong(call.call());
                if (head == null) {
                    packer.packNil();
                } else {
                    packer.packBinaryHeader(headBytes).writePayload(head);
                }
                packer.packBinaryHeader(call.body().length).writePayload(call.body());
            }
        }

        @Override
        public Object decode(ByteBuf in) throws IOException {
            try (PackedFields fields = PackedFields.of(in)) {
                fields.begin();
                CallMessage call = new CallMessage(fields.number(), fields.binary(), fields.binary());
                fields.end();
                if (call.body() == null) {
                    throw new IOException("a call without a body");
                }
                return call;
            } catch (MessagePackException e) {
                throw new IOException("malformed call", e);
            }
        }
    }

    /** Codec of gossip, which is all that idle nodes exchange. */
    enum ForGossip implements MessageCodec {
        /** The only instance. */
        INSTANCE;

        private static final int FIELDS = 7;
        private static final int EVACUATION_FIELDS = 3;
        private static final int MEMBER_FIELDS = 13;
        private static final int DEPARTURE_FIELDS = 3;
        private static final int SUSPECT_FIELDS = 2;

        /** Buffer that holds a message of an idle node, in bytes; longer ones are written in parts. */
        private static final int BUFFER_BYTES = 256;

        @Override
        public void encode(Object message, ByteBuf out) throws IOException {
            Gossip gossip = (Gossip) message;
            try (MessagePacker packer = packer(out, BUFFER_BYTES)) {
                // The last field is left out if it is absent, which it nearly always is.
                packer.packArrayHeader(gossip.getEvacuation() == null ? FIELDS : FIELDS + 1);
                packText(packer, gossip.getFrom());
                packer.packLong(gossip.getRevision());
                packText(packer, gossip.getTarget());
                packer.packLong(gossip.getDigest());
                packer.packBoolean(gossip.isFull());
                packer.packArrayHeader(gossip.getMembers().size());
                for (MemberRecord member : gossip.getMembers()) {
                    encode(member, packer);
                }
                packer.packArrayHeader(gossip.getSuspects().size());
                for (SuspectRecord suspect : gossip.getSuspects()) {
                    packer.packArrayHeader(SUSPECT_FIELDS);
                    packer.packLong(suspect.getFingerprint());
                    packer.packLong(suspect.getCrash());
                }
                if (gossip.getEvacuation() != null) {
                    encode(gossip.getEvacuation(), packer);
                }
            }
        }

        @Override
        public Object decode(ByteBuf in) throws IOException {
            try (PackedFields fields = PackedFields.of(in)) {
                fields.begin();
                Gossip gossip = new Gossip()
                        .withFrom(fields.text())
                        .withRevision(fields.number())
                        .withTarget(fields.text())
                        .withDigest(fields.number())
                        .withFull(fields.flag());
                for (int left = fields.list(); left > 0; left--) {
                    gossip.getMembers().add(decodeMember(fields));
                }
                for (int left = fields.list(); left > 0; left--) {
                    fields.begin();
                    gossip.getSuspects()
                            .add(new SuspectRecord()
                                    .withFingerprint(fields.number())
                                    .withCrash(fields.number()));
                    fields.end();
                }
                if (fields.nested()) {
                    gossip.setEvacuation(decodeEvacuation(fields));
                }
                fields.end();
                return gossip;
            } catch (MessagePackException | IllegalArgumentException e) {
                throw new IOException("malformed gossip", e);
            }
        }

        private static void encode(MemberRecord member, MessagePacker packer) throws IOException {
            // The last field is left out if it is empty, which it nearly always is.
            boolean hasDepartures = !member.getDepartures().isEmpty();
            packer.packArrayHeader(hasDepartures ? MEMBER_FIELDS + 1 : MEMBER_FIELDS);
            packText(packer, member.getId());
            packer.packLong(member.getBoot());
            packer.packLong(member.getIncarnation());
            packText(
                    packer, member.getState() == null ? null : member.getState().value());
            packText(packer, member.getHost());
            packer.packLong(member.getGatePort());
            packer.packLong(member.getFramePort());
            packText(packer, member.getRegion());
            packText(packer, member.getDomain());
            packText(packer, member.getService());
            packer.packLong(member.getSlots());
            packer.packBoolean(member.isServing());
            packer.packLong(member.getSince());
            if (hasDepartures) {
                packer.packArrayHeader(member.getDepartures().size());
                for (DepartureRecord departure : member.getDepartures()) {
                    packer.packArrayHeader(DEPARTURE_FIELDS);
                    packText(packer, departure.getInstance());
                    packer.packLong(departure.getStart());
                    packer.packLong(departure.getTime());
                }
            }
        }

        private static MemberRecord decodeMember(PackedFields fields) throws IOException {
            fields.begin();
            MemberRecord member = new MemberRecord()
                    .withId(fields.text())
                    .withBoot(fields.number())
                    .withIncarnation(fields.number());
            member.withState(decodeState(fields.text()))
                    .withHost(fields.text())
                    .withGatePort(fields.number())
                    .withFramePort(fields.number())
                    .withRegion(fields.text())
                    .withDomain(fields.text())
                    .withService(fields.text())
                    .withSlots(fields.number())
                    .withServing(fields.flag())
                    .withSince(fields.number());
            for (int left = fields.list(); left > 0; left--) {
                member.getDepartures().add(decodeDeparture(fields));
            }
            fields.end();
            return member;
        }

        private static DepartureRecord decodeDeparture(PackedFields fields) throws IOException {
            fields.begin();
            DepartureRecord departure = new DepartureRecord()
                    .withInstance(fields.text())
                    .withStart(fields.number())
                    .withTime(fields.number());
            fields.end();
            return departure;
        }

        // A state that only a later version knows must not spoil the other records of its message.
        private static MemberRecord.State decodeState(String text) {
            for (MemberRecord.State state : MemberRecord.State.values()) {
                if (state.value().equals(text)) {
                    return state;
                }
            }
            return null;
        }

        private static void encode(EvacuationRecord evacuation, MessagePacker packer) throws IOException {
            packer.packArrayHeader(EVACUATION_FIELDS);
            packer.packLong(evacuation.getGeneration());
            packer.packLong(evacuation.getVersion());
            packer.packArrayHeader(evacuation.getDomains().size());
            for (String domain : evacuation.getDomains()) {
                packText(packer, domain);
            }
        }

        private static EvacuationRecord decodeEvacuation(PackedFields fields) throws IOException {
            fields.begin();
            EvacuationRecord evacuation =
                    new EvacuationRecord().withGeneration(fields.number()).withVersion(fields.number());
            for (int left = fields.list(); left > 0; left--) {
                evacuation.getDomains().add(fields.element());
            }
            fields.end();
            return evacuation;
        }

        private static void packText(MessagePacker packer, String text) throws IOException {
            if (text == null) {
                packer.packNil();
            } else {
                packer.packString(text);
            }
        }
    }

    private static MessagePacker packer(ByteBuf out, int bufferBytes) {
        return new MessagePack.PackerConfig().withBufferSize(bufferBytes).newPacker(new ByteBufOutputStream(out));
    }
}
