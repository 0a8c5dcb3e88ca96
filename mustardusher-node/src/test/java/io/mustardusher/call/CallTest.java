package io.mustardusher.call;

import java.util.List;
import java.util.Random;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import io.mustardusher.catalogue.Catalogue;
import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.EntryDocument;
import io.mustardusher.generated.RevisedEntry;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class CallTest {

    private static final Catalogue CATALOGUE = Catalogue.EMPTY.merge(new CatalogueDelta()
            .withRevision(1)
            .withEntries(List.of(new RevisedEntry()
                    .withService("clips")
                    .withRevision(1)
                    .withEntry(new EntryDocument()
                            .withService("clips")
                            .withOwner("louisiana")
                            .withServiceClass(EntryDocument.ServiceClass.STANDARD)))));

    @Test
    void usesDefaultsOfCatalogueEntryWithoutHeaders() {
        Call call = parse(request());
        assertThat(call.owner()).isEqualTo("louisiana");
        assertThat(call.deadlineNanos()).isEqualTo(2_000_000_000L);
        assertThat(call.isIdempotent()).isTrue();
    }

    @Test
    void findsServiceByHostWithoutServiceHeader() {
        RequestHeaders headers = RequestHeaders.builder(HttpMethod.GET, "/")
                .authority("clips.example:80")
                .build();
        assertThat(Call.read(headers, CATALOGUE, 0).service().value()).isEqualTo("clips");
    }

    @Test
    void rejectsUnknownService() {
        assertThat(rejectionOf(request().set(CallHeaders.SERVICE, "nothing"))).isEqualTo(ResultCode.SERVICE_UNKNOWN);
    }

    @Test
    void rejectsMalformedHeaders() {
        assertThat(rejectionOf(request().set(CallHeaders.TIMEOUT, "soon"))).isEqualTo(ResultCode.HEADER_MALFORMED);
        assertThat(rejectionOf(request().set(CallHeaders.DEPTH, "-1"))).isEqualTo(ResultCode.HEADER_MALFORMED);
        assertThat(rejectionOf(request().set(CallHeaders.IDEMPOTENCY_KEY, "a b")))
                .isEqualTo(ResultCode.HEADER_MALFORMED);
        assertThat(rejectionOf(request().set(CallHeaders.OWNER, "Owner!"))).isEqualTo(ResultCode.HEADER_MALFORMED);
    }

    @Test
    void rejectsExpiredDeadline() {
        assertThat(rejectionOf(request().set(CallHeaders.TIMEOUT, "0m"))).isEqualTo(ResultCode.DEADLINE_EXPIRED);
    }

    @Test
    void priorityHeaderLowersClassButDoesNotRaiseIt() {
        assertThat(parse(request().set(CallHeaders.PRIORITY, "u=7")).serviceClass())
                .isEqualTo(ServiceClass.BACKGROUND);
        assertThat(parse(request().set(CallHeaders.PRIORITY, "u=0")).serviceClass())
                .isEqualTo(ServiceClass.STANDARD);
    }

    @Test
    void rejectsCallChainThatIsTooDeep() {
        assertThat(rejectionOf(request().set(CallHeaders.DEPTH, "65"))).isEqualTo(ResultCode.DEPTH_EXCEEDED);
    }

    @Test
    void stripsHeadersThatOnlyNodesMaySet() {
        Call call = parse(request().set(CallHeaders.ROLE, "home").set(CallHeaders.CLASS, "critical"));
        RequestHeaders next = call.headersForNode(1, 1, 5).build();
        assertThat(next.get(CallHeaders.ROLE)).isNull();
        assertThat(next.get(CallHeaders.CLASS)).isEqualTo("standard");
    }

    @Test
    void passesAuthorizationOfCallerToServer() {
        Call call = parse(request().set("authorization", "Basic abc"));
        RequestHeaders toGate = call.headersForNode(1, 1_000_000, 5)
                .set("authorization", "Bearer node")
                .build();
        assertThat(ServerRequest.headers(toGate, 1_000).get("authorization")).isEqualTo("Basic abc");
        RequestHeaders without = parse(request())
                .headersForNode(1, 1, 5)
                .set("authorization", "Bearer node")
                .build();
        assertThat(ServerRequest.headers(without, 1_000).get("authorization")).isNull();
    }

    @Test
    void incrementsDepthInRequestToServer() {
        RequestHeaders toGate = parse(request().set(CallHeaders.DEPTH, "3"))
                .headersForNode(1, 1, 5)
                .build();
        assertThat(ServerRequest.headers(toGate, 1).get(CallHeaders.DEPTH)).isEqualTo("4");
    }

    /** Guards against header values that make parsing fail without a result code. */
    @Test
    void randomHeadersAreParsedOrRejectedWithResultCode() {
        for (long seed = 0; seed < 20_000; seed++) {
            Random random = new Random(seed);
            RequestHeadersBuilder headers = request();
            headers.set(CallHeaders.TIMEOUT, randomValue(random));
            headers.set(CallHeaders.DEPTH, randomValue(random));
            headers.set(CallHeaders.IDEMPOTENCY_KEY, randomValue(random));
            headers.set(CallHeaders.PRIORITY, randomValue(random));
            headers.set(CallHeaders.OWNER, randomValue(random));
            try {
                assertThat(parse(headers).deadlineNanos()).isAtLeast(0L);
            } catch (MustardusherException e) {
                assertThat(e.code())
                        .isAnyOf(ResultCode.HEADER_MALFORMED, ResultCode.DEADLINE_EXPIRED, ResultCode.DEPTH_EXCEEDED);
            }
        }
    }

    private static String randomValue(Random random) {
        StringBuilder value = new StringBuilder();
        int length = 1 + random.nextInt(6);
        for (int i = 0; i < length; i++) {
            value.append("0123456789mSu=,a-".charAt(random.nextInt(17)));
        }
        return value.toString();
    }

    private static RequestHeadersBuilder request() {
        return RequestHeaders.builder(HttpMethod.GET, "/").set(CallHeaders.SERVICE, "clips");
    }

    private static Call parse(RequestHeadersBuilder headers) {
        return Call.read(headers.build(), CATALOGUE, 0);
    }

    private static ResultCode rejectionOf(RequestHeadersBuilder headers) {
        return assertThrows(MustardusherException.class, () -> parse(headers)).code();
    }
}
