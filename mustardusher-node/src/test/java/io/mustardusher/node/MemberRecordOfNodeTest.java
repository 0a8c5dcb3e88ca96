package io.mustardusher.node;

import io.mustardusher.generated.NodeSettings;
import io.mustardusher.generated.PortSettings;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class MemberRecordOfNodeTest {

    /** Guards against other nodes that bypass the address at which a node is to be reached. */
    @Test
    void namesAdvertisedAddressIfThereIsOne() {
        NodeSettings settings = new NodeSettings()
                .withId("n1")
                .withHost("10.1.0.8")
                .withPorts(new PortSettings().withGate(8300L).withFrame(7620L))
                .withRegion("r1")
                .withFailureDomain("z1");
        assertThat(NodeCore.selfRecord(settings, 1).getHost()).isEqualTo("10.1.0.8");
        assertThat(NodeCore.selfRecord(settings.withAdvertisedHost("10.9.0.8"), 1)
                        .getHost())
                .isEqualTo("10.9.0.8");
    }
}
