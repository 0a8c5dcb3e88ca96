package io.mustardusher.gossip;

import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;

import io.mustardusher.frame.FrameHandler;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;

/** An in-process network: requests are direct method calls, and nodes are identified by numbers from 0. */
public final class FakeNetwork {

    private static final int FIRST_PORT = 1_000;

    private final Map<Integer, Map<FrameKind, FrameHandler<Object, Object>>> handlers = new HashMap<>();
    private final Set<Integer> disconnected = new HashSet<>();
    private final Set<Integer> partitioned = new HashSet<>();

    public static int framePort(int node) {
        return FIRST_PORT + node;
    }

    public static int nodeAt(InetSocketAddress address) {
        return address.getPort() - FIRST_PORT;
    }

    @SuppressWarnings("unchecked")
    public <Q, A> void on(int port, FrameKind kind, FrameHandler<Q, A> handler) {
        handlers.computeIfAbsent(port, key -> new EnumMap<>(FrameKind.class))
                .put(kind, request -> (CompletableFuture<Object>) handler.handle((Q) request));
    }

    public Peers peersOf(int sender) {
        return new Peers() {
            @Override
            @SuppressWarnings("unchecked")
            public <A> CompletableFuture<A> request(
                    InetSocketAddress address, FrameKind kind, Object request, long timeoutMillis) {
                int receiver = nodeAt(address);
                boolean separated = partitioned.contains(sender) != partitioned.contains(receiver);
                if (separated
                        || disconnected.contains(sender)
                        || disconnected.contains(receiver)
                        || !handlers.containsKey(receiver)) {
                    return CompletableFuture.failedFuture(new TimeoutException());
                }
                return (CompletableFuture<A>) handlers.get(receiver).get(kind).handle(request);
            }
        };
    }

    public void disconnect(int port) {
        disconnected.add(port);
    }

    public void reconnect(int port) {
        disconnected.remove(port);
    }

    public void partition(Set<Integer> ports) {
        partitioned.addAll(ports);
    }

    public void heal() {
        partitioned.clear();
    }
}
