package io.mustardusher.lab.cluster;

import java.nio.file.Path;
import java.util.Map;

import io.mustardusher.node.Node;
import io.mustardusher.node.SettingsFile;

/** A node within this process; it cannot be killed or frozen. */
final class EmbeddedNode implements NodeHandle {

    /** Name of the node. */
    private final String name;

    private final Ports ports;

    /** Its settings file. */
    private final Path settings;

    /** Shared secret. */
    private final String credential;

    /** The node; {@code null} while it does not run. */
    private volatile Node node;

    /**
     * Creates a node that is not started.
     *
     * @param name       name of the node
     * @param ports      its ports
     * @param settings   its settings file
     * @param credential shared secret
     */
    EmbeddedNode(String name, Ports ports, Path settings, String credential) {
        this.name = name;
        this.ports = ports;
        this.settings = settings;
        this.credential = credential;
    }

    /**
     * Returns the node itself.
     *
     * @return the node
     */
    Node node() {
        return node;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public Ports ports() {
        return ports;
    }

    @Override
    public String credential() {
        return credential;
    }

    @Override
    public void start() {
        node = new Node(SettingsFile.read(settings, Map.of(), Map.of("warmUpMillis", "0")));
        node.start();
    }

    @Override
    public boolean isAlive() {
        return node != null;
    }

    @Override
    public int stop(long limitMillis) {
        Node running = node;
        node = null;
        return running == null ? 0 : running.stop();
    }

    @Override
    public void kill() {
        stop(0);
    }

    @Override
    public void pause() {
        throw new UnsupportedOperationException("a node within this process cannot be frozen");
    }

    @Override
    public void resume() {
        throw new UnsupportedOperationException("a node within this process cannot be frozen");
    }

    @Override
    public long residentKilobytes() {
        return 0;
    }

    @Override
    public long processorMillis() {
        return 0;
    }
}
