package io.mustardusher.lab.cluster;

import java.nio.file.Path;
import java.util.Map;

import io.mustardusher.node.Node;
import io.mustardusher.node.SettingsFile;

/** Runs a node within this process. Killing it is a graceful stop, and suspending it is not supported. */
final class EmbeddedNode implements NodeHandle {

    private final String name;

    private final Ports ports;

    private final Path settings;

    private final String credential;

    /** The running node, or {@code null} while it is stopped. */
    private volatile Node node;

    /**
     * Creates a node without starting it.
     *
     * @param name       name of the node
     * @param ports      ports of its listeners
     * @param settings   file that contains its settings
     * @param credential shared secret
     */
    EmbeddedNode(String name, Ports ports, Path settings, String credential) {
        this.name = name;
        this.ports = ports;
        this.settings = settings;
        this.credential = credential;
    }

    /**
     * Returns the running node.
     *
     * @return the running node, or {@code null} if it is stopped
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
    public int stop(long timeoutMillis) {
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
        throw new UnsupportedOperationException("an embedded node cannot be suspended");
    }

    @Override
    public void resume() {
        throw new UnsupportedOperationException("an embedded node cannot be suspended");
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
