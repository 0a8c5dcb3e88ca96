package io.mustardusher.call;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.netty.util.AsciiString;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the headers of calls and answers for frames. Frequent names are encoded as numbers, because traffic between
 * failure domains is costly.
 */
public final class HeaderPacking {

    /** Names that every deployment encodes as numbers; their order is part of the protocol between nodes. */
    private static final List<AsciiString> COMMON = List.of(
            HttpHeaderNames.METHOD,
            HttpHeaderNames.PATH,
            HttpHeaderNames.AUTHORITY,
            HttpHeaderNames.STATUS,
            HttpHeaderNames.CONTENT_TYPE,
            HttpHeaderNames.USER_AGENT,
            HttpHeaderNames.ACCEPT,
            CallHeaders.SERVICE,
            CallHeaders.OWNER,
            CallHeaders.DEPTH,
            CallHeaders.ATTEMPT,
            CallHeaders.TIMEOUT,
            CallHeaders.OUTCOME,
            CallHeaders.CODE,
            CallHeaders.LOAD,
            CallHeaders.FINGERPRINT,
            CallHeaders.CRASH,
            CallHeaders.CLASS,
            CallHeaders.IDEMPOTENT,
            CallHeaders.TARGET,
            CallHeaders.MOVABLE);

    /** Headers that are not sent because the receiver derives them itself. */
    private static final Set<AsciiString> DERIVED = Set.of(
            HttpHeaderNames.SCHEME, HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.DATE, HttpHeaderNames.SERVER);

    /** Buffers that hold most heads; the default is sixteen times as large. */
    private static final MessagePack.PackerConfig BUFFERS = new MessagePack.PackerConfig().withBufferSize(512);

    private final List<AsciiString> names;
    private final Map<AsciiString, Integer> numbers = new HashMap<>();

    /**
     * Creates an encoding.
     *
     * @param frequent further names to encode as numbers; the same, in the same order, on all nodes of a deployment
     */
    public HeaderPacking(List<AsciiString> frequent) {
        names = new ArrayList<>(COMMON);
        names.addAll(frequent);
        for (int i = 0; i < names.size(); i++) {
            numbers.put(names.get(i), i);
        }
    }

    /**
     * Encodes headers.
     *
     * @param headers the headers
     * @return the encoded headers
     */
    public byte[] pack(Iterable<Map.Entry<AsciiString, String>> headers) {
        try (MessageBufferPacker packer = BUFFERS.newBufferPacker()) {
            for (Map.Entry<AsciiString, String> header : headers) {
                if (DERIVED.contains(header.getKey())) {
                    continue;
                }
                Integer number = numbers.get(header.getKey());
                if (number == null) {
                    packer.packString(header.getKey().toString());
                } else {
                    packer.packInt(number);
                }
                packer.packString(header.getValue());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Decodes the headers of a request.
     *
     * @param packed the encoded headers
     * @return the headers
     */
    public RequestHeaders unpackRequest(byte[] packed) {
        RequestHeadersBuilder headers = RequestHeaders.builder();
        unpack(packed, headers::add);
        return headers.build();
    }

    /**
     * Decodes the headers of an answer. Nodes of earlier versions may send what they have read from a malformed
     * response.
     *
     * @param packed the encoded headers
     * @return the headers
     * @throws IllegalArgumentException if they are not those of a final response
     */
    public ResponseHeaders unpackResponse(byte[] packed) {
        ResponseHeadersBuilder headers = ResponseHeaders.builder();
        unpack(packed, (name, value) -> {
            if (!name.equals(HttpHeaderNames.STATUS)) {
                HttpGrammar.requireName(name);
            }
            HttpGrammar.requireValue(value);
            headers.add(name, value);
        });
        HttpGrammar.requireFinalStatus(headers.get(HttpHeaderNames.STATUS));
        return headers.build();
    }

    private void unpack(byte[] packed, BiConsumer<AsciiString, String> headers) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(packed)) {
            while (unpacker.hasNext()) {
                AsciiString name = unpacker.getNextFormat().getValueType().isIntegerType()
                        ? names.get(unpacker.unpackInt())
                        : AsciiString.of(unpacker.unpackString());
                headers.accept(name, unpacker.unpackString());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
