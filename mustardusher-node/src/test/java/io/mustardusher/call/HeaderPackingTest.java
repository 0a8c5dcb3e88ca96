package io.mustardusher.call;

import java.util.List;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.util.AsciiString;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

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
}
