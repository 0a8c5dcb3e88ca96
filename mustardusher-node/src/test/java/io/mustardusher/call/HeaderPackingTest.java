package io.mustardusher.call;

import java.util.List;
import java.util.Map;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.util.AsciiString;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class HeaderPackingTest {

    private static final AsciiString FREQUENT = AsciiString.of("x-frequent");

    private final HeaderPacking packing = new HeaderPacking(List.of(FREQUENT));

    @Test
    void unpacksRequestWithRepeatedAndUnknownNames() {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.DELETE, "/a/?b=1")
                .authority("h.example")
                .add(FREQUENT, "1")
                .add("x-unknown", "first")
                .add("x-unknown", "second")
                .build();
        RequestHeaders unpacked = packing.unpackRequest(packing.pack(headers));
        assertThat(unpacked.method()).isEqualTo(HttpMethod.DELETE);
        assertThat(unpacked.path()).isEqualTo("/a/?b=1");
        assertThat(unpacked.authority()).isEqualTo("h.example");
        assertThat(unpacked.getAll("x-unknown"))
                .containsExactly("first", "second")
                .inOrder();
    }

    @Test
    void omitsContentLength() {
        ResponseHeaders headers = ResponseHeaders.of(HttpStatus.OK, HttpHeaderNames.CONTENT_LENGTH, "3");
        assertThat(packing.unpackResponse(packing.pack(headers)).contains(HttpHeaderNames.CONTENT_LENGTH))
                .isFalse();
    }

    /** Traffic between failure domains is costly, and every answer has a report. */
    @Test
    void reportOfRunTakesLessThanThirtyBytes() {
        String report = new RunReport(1_000_000, 256, true, "cbf43926").toHeader();
        byte[] plain = packing.pack(ResponseHeaders.of(HttpStatus.OK));
        byte[] reporting = packing.pack(ResponseHeaders.of(HttpStatus.OK, CallHeaders.RUN, report));
        assertThat(reporting.length - plain.length).isLessThan(30);
    }

    @Test
    void encodesFrequentNameInOneByte() {
        byte[] frequent = packing.pack(ResponseHeaders.of(HttpStatus.OK, FREQUENT, "v"));
        byte[] unknown = packing.pack(ResponseHeaders.of(HttpStatus.OK, "x-frequenu", "v"));
        assertThat(unknown.length - frequent.length).isEqualTo(FREQUENT.length());
    }

    // Guards against a status that a node of an earlier version has taken from a malformed response.
    @Test
    void answerWithoutProperStatusIsMalformed() {
        for (String status : List.of(
                "000",
                "0",
                "099",
                "100",
                "199",
                "600",
                "999",
                "1000",
                "0200",
                "20",
                "+200",
                "-20",
                " 200",
                "200 ",
                "2x0",
                "\u0662\u0660\u0660",
                "")) {
            assertMalformed(Map.of(HttpHeaderNames.STATUS, status));
        }
        assertMalformed(Map.of(FREQUENT, "1"));
        for (String status : List.of("200", "404", "599")) {
            byte[] packed = packing.pack(Map.of(HttpHeaderNames.STATUS, status).entrySet());
            assertThat(packing.unpackResponse(packed).status().codeAsText()).isEqualTo(status);
        }
    }

    // Guards against headers that would be read as others, or as another answer, on the way to the caller.
    @Test
    void answerWithMalformedHeaderIsMalformed() {
        for (String name : List.of(
                "x odd",
                "x-odd ",
                " x-odd",
                "x\todd",
                "x\u0001",
                "x\u0000odd",
                "x:odd",
                "x\r\nodd",
                "x\u007f",
                "x/odd",
                "x\u00e9",
                "")) {
            assertMalformed(Map.of(HttpHeaderNames.STATUS, "200", AsciiString.of(name), "1"));
        }
        for (String value : List.of("\u0001", "a\u0000", "a\rb", "a\nb", "a\r\nb: c", "\u007f")) {
            assertMalformed(Map.of(HttpHeaderNames.STATUS, "200", FREQUENT, value));
        }
        for (String value : List.of("", "a b", "a\tb", "\u00e9\u00ff", "a: b; \"c\"")) {
            byte[] packed = packing.pack(
                    Map.of(HttpHeaderNames.STATUS, "200", FREQUENT, value).entrySet());
            assertThat(packing.unpackResponse(packed).get(FREQUENT)).isEqualTo(value);
        }
    }

    private void assertMalformed(Map<AsciiString, String> headers) {
        byte[] packed = packing.pack(headers.entrySet());
        assertThrows(IllegalArgumentException.class, () -> packing.unpackResponse(packed), headers::toString);
    }
}
