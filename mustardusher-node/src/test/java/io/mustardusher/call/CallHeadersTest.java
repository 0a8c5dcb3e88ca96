package io.mustardusher.call;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against reports between nodes that reach callers and backend servers, or that these make up. */
class CallHeadersTest {

    @Test
    void reportOfRunReachesNeitherServerNorCaller() {
        RequestHeaders request = RequestHeaders.builder(HttpMethod.GET, "/")
                .set(CallHeaders.RUN, "1.1.0.-")
                .build();
        assertThat(CallHeaders.copyFromCaller(request).contains(CallHeaders.RUN))
                .isFalse();
        assertThat(CallHeaders.copyForServer(request).contains(CallHeaders.RUN)).isFalse();
        ResponseHeadersBuilder answer = ResponseHeaders.builder(200).set(CallHeaders.RUN, "1.1.0.-");
        CallHeaders.stripAnswer(answer);
        assertThat(answer.contains(CallHeaders.RUN)).isFalse();
        assertThat(CallHeaders.isStrippedFromServerAnswer(CallHeaders.RUN)).isTrue();
    }
}
