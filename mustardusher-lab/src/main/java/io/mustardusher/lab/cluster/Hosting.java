package io.mustardusher.lab.cluster;

import java.nio.file.Path;

/** Decides whether the nodes of a cluster run in processes of their own. */
public enum Hosting {
    /** Each node runs in a process of its own. */
    PROCESSES {
        @Override
        NodeHandle createNode(String name, Ports ports, Path settings, Path log, String credential) {
            return new NodeProcess(name, ports, settings, log, credential);
        }
    },

    /** All nodes run within this process; they can be neither killed nor suspended. */
    EMBEDDED {
        @Override
        NodeHandle createNode(String name, Ports ports, Path settings, Path log, String credential) {
            return new EmbeddedNode(name, ports, settings, credential);
        }
    };

    /**
     * Creates a node without starting it.
     *
     * @param name       name of the node
     * @param ports      ports of its listeners
     * @param settings   file that contains its settings
     * @param log        file that receives its output; unused by an embedded node
     * @param credential shared secret
     * @return the created node
     */
    abstract NodeHandle createNode(String name, Ports ports, Path settings, Path log, String credential);
}
