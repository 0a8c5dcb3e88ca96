package io.mustardusher.membership;

/**
 * Identifies a node; unique within a deployment.
 *
 * @param value the node's name
 */
public record NodeId(String value) implements Comparable<NodeId> {

    /**
     * Creates a node id.
     *
     * @param value the node's name
     * @return the node id
     */
    public static NodeId of(String value) {
        return new NodeId(value);
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
