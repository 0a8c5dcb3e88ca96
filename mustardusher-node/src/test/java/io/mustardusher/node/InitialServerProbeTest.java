package io.mustardusher.node;

import java.net.InetSocketAddress;
import java.util.Optional;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import io.mustardusher.generated.Announcement;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.server.ReportedServerLoad;
import io.mustardusher.server.ServerDialect;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class InitialServerProbeTest {

    private static final NodeEnvironment.LocalServer LOCAL_SERVER =
            new NodeEnvironment.LocalServer(new InetSocketAddress("127.0.0.1", 8_080), "s");

    @Test
    void createsAnnouncementFromHealthyAnswer() {
        Optional<Announcement> announcement = announcementFrom(200, "i-1", "17");

        assertThat(announcement.map(Announcement::getInstance)).isEqualTo(Optional.of("i-1"));
        assertThat(announcement.map(Announcement::getSlots)).isEqualTo(Optional.of(17L));
        assertThat(announcement.map(Announcement::getService)).isEqualTo(Optional.of("s"));
    }

    @Test
    void ignoresAnswerOfDrainingServer() {
        assertThat(announcementFrom(503, "i-1", "17")).isEqualTo(Optional.empty());
    }

    @Test
    void ignoresAnswerWithoutSlots() {
        assertThat(announcementFrom(200, "i-1", "0")).isEqualTo(Optional.empty());
    }

    @Test
    void ignoresAnswerWithoutInstance() {
        assertThat(announcementFrom(200, null, "17")).isEqualTo(Optional.empty());
    }

    private static Optional<Announcement> announcementFrom(int status, String instance, String slots) {
        var headers = ResponseHeaders.builder(status).set("slots", slots);
        if (instance != null) {
            headers.set("instance", instance);
        }
        return InitialServerProbe.toAnnouncement(
                LOCAL_SERVER, SlotsDialect.INSTANCE, AggregatedHttpResponse.of(headers.build(), HttpData.empty()));
    }

    private enum SlotsDialect implements ServerDialect {
        INSTANCE;

        @Override
        public RequestHeaders requestHeaders(RequestHeadersBuilder call, String instance, long leftNanos) {
            return call.build();
        }

        @Override
        public Optional<String> requestId(HttpHeaders headers) {
            return Optional.empty();
        }

        @Override
        public ResponseKind classify(ResponseHeaders answer) {
            return ResponseKind.RAN;
        }

        @Override
        public Optional<ReportedServerLoad> load(ResponseHeaders answer) {
            return Optional.of(new ReportedServerLoad(0, 0, answer.getInt("slots"), 100));
        }

        @Override
        public ServerConditions conditions(ResponseHeaders response) {
            return ServerConditions.NONE;
        }

        @Override
        public Optional<String> instance(ResponseHeaders answer) {
            return Optional.ofNullable(answer.get("instance"));
        }
    }
}
