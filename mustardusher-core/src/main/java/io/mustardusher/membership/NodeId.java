package io.mustardusher.membership;

/**
 * Name of a node, unique in the deployment.
 *
 * @param value the name
 */
public record NodeId(String value) implements Comparable<NodeId> {

    /**
     * Creates a name.
     *
     * @param value the name
     * @return the value
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
