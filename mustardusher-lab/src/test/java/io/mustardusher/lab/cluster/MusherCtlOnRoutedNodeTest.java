package io.mustardusher.lab.cluster;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import io.mustardusher.account.Account;
import io.mustardusher.account.AccountName;
import io.mustardusher.account.AccountTable;
import io.mustardusher.admin.MetricsResource;
import io.mustardusher.admin.RoutedNodeResource;
import io.mustardusher.admin.ServerView;
import io.mustardusher.ctl.MusherCtl;
import io.mustardusher.entry.AllowanceState;
import io.mustardusher.evacuation.EvacuationOrders;
import io.mustardusher.frame.Credential;
import io.mustardusher.http.HttpListener;
import io.mustardusher.route.RequestLimits;
import io.mustardusher.route.RouteTable;
import io.mustardusher.time.Clock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

import static com.google.common.truth.Truth.assertThat;

/** Guards against commands whose columns no longer match what a routed node serves. */
class MusherCtlOnRoutedNodeTest {

    private static final EventLoopGroup GROUP = new NioEventLoopGroup(1);
    private static final HttpListener LISTENER = new HttpListener(GROUP, new Clock.Manual(), new MetricRegistry());
    private static int port;
    private static volatile long ageMillis;

    @BeforeAll
    static void start() {
        AccountTable.Builder accounts = AccountTable.builder();
        accounts.add(new Account(AccountName.of("atlas"), OptionalInt.of(1), 38, 19), List.of());
        RouteTable routes = RouteTable.builder(12).accounts(accounts.build()).build();
        ServerView.LoadView load = new ServerView.LoadView(false, 0.25, 3, 4.5, 20_000, 100);
        RoutedNodeResource resource = new RoutedNodeResource(
                new MetricsResource(new MetricRegistry()),
                new Credential("secret"),
                new RoutedNodeResource.Sources(
                        () -> routes,
                        () -> Optional.of(new RoutedNodeResource.FreshnessView(ageMillis, 5_000, false)),
                        (all, max) -> CompletableFuture.completedFuture(all.stream()
                                .map(account -> new AllowanceState(
                                        account.name().value(), 38, 19, 410, 17, 2, "node-" + max, 0.5))
                                .toList()),
                        () -> EvacuationOrders.of(new EvacuationOrders.Revision(0, 7), List.of("domain-b")),
                        () -> List.of(
                                new ServerView("s", "node-1", "domain-a", true, false, load, true, 7.0, 31L),
                                new ServerView("s", "node-2", "domain-b", true, true, null, null, null, null))));
        port = LISTENER.bind(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                (request, exchange) -> resource.handle(request),
                () -> RequestLimits.NONE);
    }

    @AfterAll
    static void stop() {
        LISTENER.close();
        GROUP.shutdownGracefully();
    }

    @Test
    void listsAccountsAndFreshness() {
        ageMillis = -1;
        assertThat(lines("accounts").get(0)).endsWith("keys refused until the version is known to be the newest");
        ageMillis = 4_900;
        assertThat(lines("accounts"))
                .containsExactly(
                        "routes version 12, keys required, keys refused at an age of 4900 ms of 5000 ms",
                        "ACCOUNT PRIORITY RATEPERSECOND BURST",
                        "atlas 1 38.00 19.00")
                .inOrder();
        assertThat(run("accounts", "--output", "json").output()).contains("\"boundMillis\" : 5000");
    }

    @Test
    void listsAllowances() {
        assertThat(lines("allowances"))
                .containsExactly(
                        "ACCOUNT RATEPERSECOND BURST GRANTED REFUSED UNANSWERED COORDINATOR HELDSHARE",
                        "atlas 38.00 19.00 410 17 2 node-10 0.50")
                .inOrder();
        assertThat(lines("allowances", "--limit", "3").get(1)).contains("node-3");
        assertThat(lines("allowances", "atlas").get(1)).contains("node-1");
        assertThat(lines("allowances", "other")).hasSize(1);
        assertThat(run("allowances", "--limit", "1000").exitCode()).isEqualTo(1);
    }

    @Test
    void listsEvacuations() {
        assertThat(lines("evacuations"))
                .containsExactly("orders of version 7 of the table service", "DOMAIN", "domain-b")
                .inOrder();
    }

    @Test
    void listsServersWithColdnessAndEvacuation() {
        assertThat(lines("servers"))
                .containsExactly(
                        "SERVICE NODE SERVING EJECTED FAILURERATE INFLIGHT BUSY ESTIMATEMICROS DOMAIN EVACUATED COLD"
                                + " COLDCALLSPERSECOND COLDREFUSED",
                        "s node-1 true false 0.25 3 4.50 20000 domain-a false true 7.00 31",
                        "s node-2 true - - - - - domain-b true - - -")
                .inOrder();
    }

    @Test
    void failsWithoutCredentialOrResource() {
        assertThat(run("accounts", "--credential", "other").output()).contains("4007");
        assertThat(run("explain", "s").exitCode()).isEqualTo(1);
    }

    private static List<String> lines(String... arguments) {
        Cluster.CommandResult result = run(arguments);
        assertThat(result.exitCode()).isEqualTo(0);
        return result.output().lines().map(line -> line.replaceAll(" +", " ")).toList();
    }

    private static Cluster.CommandResult run(String... arguments) {
        boolean ownCredential = List.of(arguments).contains("--credential");
        CommandLine command = MusherCtl.commandLine();
        StringWriter output = new StringWriter();
        command.setOut(new PrintWriter(output, true));
        command.setErr(new PrintWriter(output, true));
        List<String> line = new ArrayList<>(List.of(arguments));
        line.addAll(List.of("--node", "http://127.0.0.1:" + port));
        if (!ownCredential) {
            line.addAll(List.of("--credential", "secret"));
        }
        return new Cluster.CommandResult(command.execute(line.toArray(new String[0])), output.toString());
    }
}
