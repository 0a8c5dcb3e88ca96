package io.mustardusher.node;

import java.net.InetSocketAddress;
import java.util.Optional;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.generated.Announcement;
import io.mustardusher.server.ReportedServerLoad;
import io.mustardusher.server.ServerDialect;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class FirstLookTest {

    private static final Surroundings.Neighbour NEIGHBOUR =
            new Surroundings.Neighbour(new InetSocketAddress("127.0.0.1", 8_080), "s");

    @Test
    void healthyServerIsDescribed() {
        Optional<Announcement> found = describe(200, "i-1", "17");

        assertThat(found.map(Announcement::getInstance)).isEqualTo(Optional.of("i-1"));
        assertThat(found.map(Announcement::getSlots)).isEqualTo(Optional.of(17L));
        assertThat(found.map(Announcement::getService)).isEqualTo(Optional.of("s"));
    }

    @Test
    void serverThatIsLeavingIsLeftToAnnounceItself() {
        assertThat(describe(503, "i-1", "17")).isEqualTo(Optional.empty());
    }

    @Test
    void serverWithoutFiguresIsLeftToAnnounceItself() {
        assertThat(describe(200, "i-1", "0")).isEqualTo(Optional.empty());
    }

    @Test
    void serverThatDoesNotTellItsStartIsLeftToAnnounceItself() {
        assertThat(describe(200, null, "17")).isEqualTo(Optional.empty());
    }

    private static Optional<Announcement> describe(int status, String instance, String slots) {
        var headers = ResponseHeaders.builder(status).set("slots", slots);
        if (instance != null) {
            headers.set("instance", instance);
        }
        return FirstLook.describe(
                NEIGHBOUR, Figures.INSTANCE, AggregatedHttpResponse.of(headers.build(), HttpData.empty()));
    }

    private enum Figures implements ServerDialect {
        INSTANCE;

        @Override
        public RequestHeaders requestHeaders(RequestHeadersBuilder call, String instance, long leftNanos) {
            return call.build();
        }

        @Override
        public ResponseKind classify(RequestHeaders sent, ResponseHeaders answer) {
            return ResponseKind.RAN;
        }

        @Override
        public Optional<ReportedServerLoad> load(ResponseHeaders answer) {
            return Optional.of(new ReportedServerLoad(0, 0, answer.getInt("slots"), 100));
        }

        @Override
        public Optional<String> instance(ResponseHeaders answer) {
            return Optional.ofNullable(answer.get("instance"));
        }
    }
}
