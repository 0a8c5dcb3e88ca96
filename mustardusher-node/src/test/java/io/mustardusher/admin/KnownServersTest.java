package io.mustardusher.admin;

import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import io.mustardusher.entry.ServerDirectory;
import io.mustardusher.evacuation.EvacuationOrders;
import io.mustardusher.frame.Credential;
import io.mustardusher.gate.ColdState;
import io.mustardusher.generated.DistanceSettings;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.route.ColdStart;
import io.mustardusher.schema.Schema;
import io.mustardusher.time.Clock;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class KnownServersTest {

    private final Clock.Manual clock = new Clock.Manual();
    private final MemberTable members = new MemberTable(member("node-0", "d", MemberState.ALIVE), clock, new Random(1));
    private final ServerDirectory directory =
            new ServerDirectory(members, null, new DistanceSettings(), () -> null, new Credential("secret"), clock);
    private EvacuationOrders orders = EvacuationOrders.NONE;
    private final KnownServers servers = new KnownServers(
            members, directory, () -> orders, service -> new ColdStart(7, 1), () -> new ColdState(true, 3), clock);

    @Test
    void tellsColdnessOfLocalServerOnly() {
        members.merge(List.of(member("node-1", "e", MemberState.LEAVING)));
        directory.refresh();
        JsonNode views = views();
        assertThat(views).hasSize(2);
        assertThat(views.at("/0/node").asText()).isEqualTo("node-0");
        assertThat(views.at("/0/cold").asBoolean()).isTrue();
        assertThat(views.at("/0/coldCallsPerSecond").asDouble()).isEqualTo(7);
        assertThat(views.at("/0/coldRefused").asInt()).isEqualTo(3);
        assertThat(views.at("/0/inFlight").asInt(-1)).isEqualTo(0);
        assertThat(views.at("/1/cold").isNull()).isTrue();
        assertThat(views.at("/1/serving").asBoolean()).isFalse();
    }

    /** Guards against servers that vanish from the view because an evacuation removes them from the choice. */
    @Test
    void listsServersOfEvacuatedDomain() {
        members.merge(List.of(member("node-1", "e", MemberState.ALIVE)));
        orders = EvacuationOrders.of(new EvacuationOrders.Revision(0, 1), List.of("e"));
        directory.followOrders(() -> orders, node -> {});
        directory.refresh();
        JsonNode views = views();
        assertThat(views.at("/1/evacuated").asBoolean()).isTrue();
        assertThat(views.at("/1/serving").asBoolean()).isTrue();
        assertThat(views.at("/1").has("inFlight")).isFalse();
        assertThat(views.at("/0/evacuated").asBoolean()).isFalse();
    }

    private JsonNode views() {
        return Schema.mapper().valueToTree(servers.get());
    }

    private static MemberRecord member(String id, String domain, MemberState state) {
        return new MemberRecord()
                .withId(id)
                .withBoot(1L)
                .withIncarnation(1)
                .withState(state.toRecordState())
                .withHost("127.0.0.1")
                .withGatePort(1L)
                .withRegion("r")
                .withDomain(domain)
                .withService("s")
                .withSlots(4)
                .withServing(true);
    }
}
