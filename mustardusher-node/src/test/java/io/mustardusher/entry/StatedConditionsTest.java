package io.mustardusher.entry;

import java.util.Optional;

import io.mustardusher.instance.InstanceConditions;
import io.mustardusher.instance.ServerConditions;
import io.mustardusher.membership.NodeId;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class StatedConditionsTest {

    private static final NodeId NODE = NodeId.of("node-1");
    private static final Optional<InstanceConditions> LIMITED =
            Optional.of(new InstanceConditions("i-1", new ServerConditions(17.9, false)));
    private static final Optional<InstanceConditions> LEAVING =
            Optional.of(new InstanceConditions("i-1", new ServerConditions(17.9, true)));

    private final StatedConditions conditions = new StatedConditions();

    @Test
    void endWithAnswerToCallThatCarriedThem() {
        conditions.recordAnswer(NODE, LIMITED, Optional.empty());
        assertThat(conditions.of(NODE)).isEqualTo(LIMITED);
        conditions.recordAnswer(NODE, Optional.empty(), LIMITED);
        assertThat(conditions.of(NODE)).isEmpty();
    }

    /** Answers to calls that were sent earlier may arrive later. */
    @Test
    void remainAfterAnswerToCallThatDidNotCarryThem() {
        conditions.recordAnswer(NODE, LEAVING, Optional.empty());
        conditions.recordAnswer(NODE, Optional.empty(), Optional.empty());
        conditions.recordAnswer(NODE, Optional.empty(), LIMITED);
        assertThat(conditions.of(NODE)).isEqualTo(LEAVING);
    }

    @Test
    void numberOfServersIsBounded() {
        for (int i = 0; i < 3_000; i++) {
            conditions.recordAnswer(NodeId.of("node-" + i), LIMITED, Optional.empty());
        }
        assertThat(conditions.of(NodeId.of("node-0"))).isEmpty();
        assertThat(conditions.of(NodeId.of("node-2999"))).isEqualTo(LIMITED);
    }
}
