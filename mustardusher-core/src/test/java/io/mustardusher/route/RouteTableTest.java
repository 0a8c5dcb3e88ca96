package io.mustardusher.route;

import io.mustardusher.catalogue.ServiceName;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RouteTableTest {

    private final RouteTable table = RouteTable.builder(7)
            .add("a.example", route("all", "/"))
            .add("a.example", route("deep", "/x/y/"))
            .add("a.example", route("x", "/x/"))
            .add("b.example", route("b", "/b/"))
            .build();

    @Test
    void longestPrefixWins() {
        assertThat(found("a.example", "/x/y/z")).isEqualTo("deep");
        assertThat(found("a.example", "/x/z")).isEqualTo("x");
        assertThat(found("a.example", "/z")).isEqualTo("all");
    }

    @Test
    void prefixMatchesWholePathSegmentsOnly() {
        assertThat(found("a.example", "/x")).isEqualTo("all");
        assertThat(found("a.example", "/x/yy")).isEqualTo("x");
    }

    @Test
    void queryIsIgnored() {
        assertThat(found("a.example", "/z?next=/x/y/")).isEqualTo("all");
    }

    @Test
    void hostIsMatchedWithoutPortAndCaseInsensitively() {
        assertThat(found("A.Example:8080", "/x/")).isEqualTo("x");
    }

    @Test
    void requestWithoutMatchingHostAndPrefixHasNoRoute() {
        assertThat(table.find("b.example", "/c/")).isEmpty();
        assertThat(table.find("c.example", "/b/")).isEmpty();
        assertThat(table.find(null, "/b/")).isEmpty();
    }

    private String found(String host, String path) {
        return table.find(host, path).orElseThrow().name();
    }

    private static Route route(String name, String prefix) {
        return new Route(name, prefix, new Destination.Single(ServiceName.of("s")), true, 1, 1, 1, 2);
    }
}
