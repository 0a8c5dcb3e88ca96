package io.mustardusher.lab.load;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.SessionProtocol;
import io.mustardusher.result.Outcome;

/** The entries that callers know. */
public final class Entries {

    /** Clients of the entries in use. */
    private final List<Target> targets = new CopyOnWriteArrayList<>();

    /** Ports of entries that were killed. */
    private final Set<Integer> killed = ConcurrentHashMap.newKeySet();

    private final ClientFactory connections;

    /** Protocol of the callers. */
    private final SessionProtocol protocol;

    /** Whether callers call backend servers themselves, whose answers say nothing of an outcome. */
    private final boolean direct;

    /**
     * Creates an empty list.
     *
     * @param connections connections
     * @param protocol    protocol of the callers
     */
    public Entries(ClientFactory connections, SessionProtocol protocol) {
        this(connections, protocol, false);
    }

    /**
     * Creates an empty list.
     *
     * @param connections connections
     * @param protocol    protocol of the callers
     * @param direct      whether callers call backend servers themselves
     */
    public Entries(ClientFactory connections, SessionProtocol protocol, boolean direct) {
        this.connections = connections;
        this.protocol = protocol;
        this.direct = direct;
    }

    /**
     * Returns the outcome that an answer without a word on it has.
     *
     * @return {@link Outcome#RAN} of a backend server, otherwise {@link Outcome#UNKNOWN}
     */
    Outcome unmarked() {
        return direct ? Outcome.RAN : Outcome.UNKNOWN;
    }

    /**
     * Adds an entry.
     *
     * @param port its port on the loopback address
     */
    public void add(int port) {
        WebClient client = WebClient.builder(protocol, Endpoint.of("127.0.0.1", port))
                .factory(connections)
                .responseTimeoutMillis(0)
                .maxResponseLength(0)
                .build();
        targets.add(new Target(port, client));
    }

    /**
     * Removes an entry.
     *
     * @param port its port
     */
    public void remove(int port) {
        targets.removeIf(target -> target.port == port);
    }

    /**
     * Removes an entry whose process is killed; broken connections to it are expected.
     *
     * @param port its port
     */
    public void killed(int port) {
        killed.add(port);
        remove(port);
    }

    /**
     * Tells whether an entry was killed.
     *
     * @param port its port
     * @return {@code true} if it was
     */
    boolean wasKilled(int port) {
        return killed.contains(port);
    }

    /**
     * Chooses an entry.
     *
     * @param random source of random choice
     * @return the entry
     */
    Target choose(Random random) {
        return targets.get(random.nextInt(targets.size()));
    }

    /**
     * An entry.
     *
     * @param port   its port
     * @param client its client
     */
    record Target(int port, WebClient client) {}
}
