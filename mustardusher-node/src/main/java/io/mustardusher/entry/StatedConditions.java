package io.mustardusher.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.mustardusher.instance.InstanceConditions;
import io.mustardusher.membership.NodeId;

/**
 * Conditions that backend servers stated in answers to this entry. They are sent with each call to the node beside the
 * server, which may have lost them in a restart. Thread-safe.
 */
final class StatedConditions {

    /** Beyond this many, those of the servers that were recorded first are dropped. */
    private static final int MAX_SERVERS = 1_000;

    private final Map<NodeId, InstanceConditions> byNode = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<NodeId, InstanceConditions> eldest) {
            return size() > MAX_SERVERS;
        }
    };

    /**
     * Returns the conditions of the server beside a node.
     *
     * @param node the node
     * @return the conditions, or empty if there are none
     */
    synchronized Optional<InstanceConditions> of(NodeId node) {
        return Optional.ofNullable(byNode.get(node));
    }

    /**
     * Records the conditions in an answer of a server. Those that were sent with the call no longer apply if the answer
     * states none.
     *
     * @param node   node beside the server
     * @param stated conditions in the answer, if there are any
     * @param sent   conditions that were sent with the call, if there were any
     */
    synchronized void recordAnswer(
            NodeId node, Optional<InstanceConditions> stated, Optional<InstanceConditions> sent) {
        if (stated.isPresent()) {
            byNode.put(node, stated.get());
        } else {
            sent.ifPresent(outdated -> byNode.remove(node, outdated));
        }
    }
}
