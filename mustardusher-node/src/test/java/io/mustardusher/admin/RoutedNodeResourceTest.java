package io.mustardusher.admin;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import io.mustardusher.account.Account;
import io.mustardusher.account.AccountName;
import io.mustardusher.account.AccountTable;
import io.mustardusher.account.KeyDigest;
import io.mustardusher.entry.AllowanceState;
import io.mustardusher.evacuation.EvacuationOrders;
import io.mustardusher.frame.Credential;
import io.mustardusher.route.RouteTable;
import io.mustardusher.schema.Schema;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RoutedNodeResourceTest {

    private static final String KEY = "key-of-atlas";

    private final RouteTable routes =
            RouteTable.builder(12).accounts(accountTable()).build();
    private final RoutedNodeResource resource = new RoutedNodeResource(
            new MetricsResource(new MetricRegistry()),
            new Credential("secret"),
            new RoutedNodeResource.Sources(
                    () -> routes,
                    () -> Optional.of(new RoutedNodeResource.FreshnessView(800, 5_000, true)),
                    (accounts, max) -> CompletableFuture.completedFuture(accounts.stream()
                            .limit(max)
                            .map(account -> new AllowanceState(account.name().value(), 0, 0, 0, 0, 0, "n", 1))
                            .toList()),
                    () -> EvacuationOrders.of(new EvacuationOrders.Revision(1, 7), List.of("b", "a")),
                    List::of));

    /** Guards against keys or digests in what operators see. */
    @Test
    void listsAccountsWithoutKeys() throws JsonProcessingException {
        String text = get("/v1/accounts").contentUtf8();
        JsonNode expected = Schema.mapper()
                .readTree("{\"version\": 12, \"enabled\": true, \"unreadable\": 1,"
                        + "\"freshness\": {\"ageMillis\": 800, \"boundMillis\": 5000, \"acceptsKeys\": true},"
                        + "\"accounts\": [{\"account\": \"atlas\", \"priority\": 0, \"ratePerSecond\": 38.0,"
                        + "\"burst\": 19.0}, {\"account\": \"boreas\", \"priority\": null, \"ratePerSecond\": 0.0,"
                        + "\"burst\": 0.0}]}");
        assertThat(Schema.mapper().readTree(text)).isEqualTo(expected);
    }

    @Test
    void boundsNumberOfAllowances() throws JsonProcessingException {
        assertThat(json("/v1/allowances")).hasSize(2);
        assertThat(json("/v1/allowances?limit=1")).hasSize(1);
        assertThat(json("/v1/allowances?account=boreas").at("/0/account").asText())
                .isEqualTo("boreas");
        assertThat(json("/v1/allowances?account=unknown")).isEmpty();
        assertThat(get("/v1/allowances?limit=101").status().code()).isEqualTo(400);
        assertThat(get("/v1/allowances?limit=x").status().code()).isEqualTo(400);
    }

    @Test
    void listsEvacuatedDomainsWithTheirRevision() throws JsonProcessingException {
        assertThat(json("/v1/evacuations").toString())
                .isEqualTo("{\"generation\":1,\"version\":7,\"domains\":[{\"domain\":\"a\"},{\"domain\":\"b\"}]}");
    }

    @Test
    void rejectsUnknownResourceAndChange() {
        assertThat(get("/v1/explain/s").status().code()).isEqualTo(400);
        RequestHeaders change = RequestHeaders.of(HttpMethod.POST, "/v1/accounts", "authorization", "Bearer secret");
        assertThat(handle(change).status().code()).isEqualTo(400);
    }

    private JsonNode json(String path) throws JsonProcessingException {
        return Schema.mapper().readTree(get(path).contentUtf8());
    }

    private AggregatedHttpResponse get(String path) {
        return handle(RequestHeaders.of(HttpMethod.GET, path, "authorization", "Bearer secret"));
    }

    private AggregatedHttpResponse handle(RequestHeaders headers) {
        return resource.handle(HttpRequest.of(headers)).aggregate().join();
    }

    private static AccountTable accountTable() {
        AccountTable.Builder builder = AccountTable.builder();
        builder.add(new Account(AccountName.of("boreas"), OptionalInt.empty(), 0, 0), List.of());
        builder.add(new Account(AccountName.of("atlas"), OptionalInt.of(0), 38, 19), List.of(KeyDigest.of(KEY)));
        return builder.addUnreadable().build();
    }
}
