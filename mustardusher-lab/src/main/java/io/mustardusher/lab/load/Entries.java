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

/**
 * The entries among which callers choose, each with its HTTP client. In measurements of the baseline, these are the
 * backend servers themselves.
 */
public final class Entries {

    private final List<Target> targets = new CopyOnWriteArrayList<>();

    /** Ports of entries whose process was killed. */
    private final Set<Integer> killedPorts = ConcurrentHashMap.newKeySet();

    private final ClientFactory connections;

    private final SessionProtocol protocol;

    /** Whether callers call backend servers directly, whose responses have no outcome header. */
    private final boolean direct;

    /**
     * Creates an empty set of entries.
     *
     * @param connections factory of the clients
     * @param protocol    protocol that callers use
     */
    public Entries(ClientFactory connections, SessionProtocol protocol) {
        this(connections, protocol, false);
    }

    /**
     * Creates an empty set of entries.
     *
     * @param connections factory of the clients
     * @param protocol    protocol that callers use
     * @param direct      whether callers call backend servers directly
     */
    public Entries(ClientFactory connections, SessionProtocol protocol, boolean direct) {
        this.connections = connections;
        this.protocol = protocol;
        this.direct = direct;
    }

    /**
     * Returns the outcome assumed for a response without an outcome header.
     *
     * @return {@link Outcome#RAN} if backend servers are called directly, otherwise {@link Outcome#UNKNOWN}
     */
    Outcome defaultOutcome() {
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
     * Removes an entry whose process is about to be killed. Broken connections to it are expected from now on.
     *
     * @param port its port
     */
    public void removeKilled(int port) {
        killedPorts.add(port);
        remove(port);
    }

    /**
     * Returns whether the process of an entry was killed.
     *
     * @param port its port
     * @return {@code true} if it was killed
     */
    boolean wasKilled(int port) {
        return killedPorts.contains(port);
    }

    /**
     * Chooses an entry at random.
     *
     * @param random source of randomness
     * @return the entry
     */
    Target choose(Random random) {
        return targets.get(random.nextInt(targets.size()));
    }

    /**
     * An entry and its client.
     *
     * @param port   its port
     * @param client client that sends calls to it
     */
    record Target(int port, WebClient client) {}
}
