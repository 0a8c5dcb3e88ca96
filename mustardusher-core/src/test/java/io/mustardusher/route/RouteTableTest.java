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
        assertThat(table.find("b.example", "/c/")).isEqualTo(RouteMatch.Unmatched.ABSENT);
        assertThat(table.find("c.example", "/b/")).isEqualTo(RouteMatch.Unmatched.ABSENT);
        assertThat(table.find(null, "/b/")).isEqualTo(RouteMatch.Unmatched.ABSENT);
    }

    @Test
    void unreadableRouteKeepsItsPlace() {
        RouteTable table = RouteTable.builder(7)
                .add("a.example", route("all", "/"))
                .addUnreadable("a.example", "/x/")
                .add("a.example", route("deep", "/x/y/"))
                .addUnreadable("b.example", "/x/")
                .build();
        assertThat(table.find("a.example", "/x/z")).isEqualTo(RouteMatch.Unmatched.UNREADABLE);
        assertThat(table.find("a.example", "/x/y/z").orElseThrow().name()).isEqualTo("deep");
        assertThat(table.find("a.example", "/z").orElseThrow().name()).isEqualTo("all");
        assertThat(table.find("b.example", "/z")).isEqualTo(RouteMatch.Unmatched.ABSENT);
        assertThat(table.routes()).hasSize(2);
        assertThat(table.unreadable()).isEqualTo(2);
    }

    @Test
    void readableRouteIsKeptBesideUnreadableOneOfSamePrefix() {
        RouteTable before = RouteTable.builder(7)
                .add("a.example", route("x", "/x/"))
                .addUnreadable("a.example", "/x/")
                .build();
        RouteTable after = RouteTable.builder(7)
                .addUnreadable("a.example", "/x/")
                .add("a.example", route("x", "/x/"))
                .build();
        assertThat(before.find("a.example", "/x/").orElseThrow().name()).isEqualTo("x");
        assertThat(after.find("a.example", "/x/").orElseThrow().name()).isEqualTo("x");
    }

    /** A route under a prefix without its last slash must not be taken for one of a shorter prefix. */
    @Test
    void unreadableRouteWithMalformedPrefixKeepsItsPlace() {
        RouteTable table = RouteTable.builder(7)
                .add("a.example", route("all", "/"))
                .addUnreadable("a.example", "x")
                .addUnreadable("b.example", "")
                .build();
        assertThat(table.find("a.example", "/x/z")).isEqualTo(RouteMatch.Unmatched.UNREADABLE);
        assertThat(table.find("a.example", "/z").orElseThrow().name()).isEqualTo("all");
        assertThat(table.find("b.example", "/z")).isEqualTo(RouteMatch.Unmatched.UNREADABLE);
    }

    @Test
    void requestWithoutRouteIsUndecidedWhereItsHostIsIncomplete() {
        RouteTable table = RouteTable.builder(7)
                .add("a.example", route("x", "/x/"))
                .addUnreadable("A.example")
                .add("b.example", route("x", "/x/"))
                .build();
        assertThat(table.find("a.example", "/z")).isEqualTo(RouteMatch.Unmatched.UNREADABLE);
        assertThat(table.find("b.example", "/z")).isEqualTo(RouteMatch.Unmatched.ABSENT);
        assertThat(table.find("c.example", "/z")).isEqualTo(RouteMatch.Unmatched.ABSENT);
    }

    @Test
    void requestWithoutRouteIsUndecidedWhereTableIsIncomplete() {
        RouteTable table = RouteTable.builder(7)
                .add("a.example", route("x", "/x/"))
                .addUnreadable()
                .build();
        assertThat(table.find("a.example", "/x/").orElseThrow().name()).isEqualTo("x");
        assertThat(table.find("a.example", "/z")).isEqualTo(RouteMatch.Unmatched.UNREADABLE);
        assertThat(table.find("c.example", "/z")).isEqualTo(RouteMatch.Unmatched.UNREADABLE);
    }

    private String found(String host, String path) {
        return table.find(host, path).orElseThrow().name();
    }

    private static Route route(String name, String prefix) {
        return new Route(name, prefix, new Destination.Single(ServiceName.of("s")), true, 1, 1, 1, 2, false);
    }
}
