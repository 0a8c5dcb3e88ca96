package io.mustardusher.allowance;

/**
 * A process of a node. After a restart a node is a different process, which holds no shares of others.
 *
 * @param id   id of the node
 * @param boot start time of the process, in milliseconds since the Unix epoch
 */
public record NodeProcess(String id, long boot) {

    @Override
    public String toString() {
        return id + "@" + boot;
    }
}
