package io.mustardusher.spread;

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

/** A network of function calls; nodes are named by their frame ports. */
public final class FakeNetwork {

    private final Map<Integer, Map<FrameKind, FrameHandler<Object, Object>>> handlers = new HashMap<>();
    private final Set<Integer> down = new HashSet<>();
    private final Set<Integer> island = new HashSet<>();

    @SuppressWarnings("unchecked")
    public <Q, A> void on(int port, FrameKind kind, FrameHandler<Q, A> handler) {
        handlers.computeIfAbsent(port, key -> new EnumMap<>(FrameKind.class))
                .put(kind, question -> (CompletableFuture<Object>) handler.handle((Q) question));
    }

    public Peers from(int sender) {
        return new Peers() {
            @Override
            @SuppressWarnings("unchecked")
            public <A> CompletableFuture<A> request(
                    InetSocketAddress address, FrameKind kind, Object question, long timeoutMillis) {
                int receiver = address.getPort();
                boolean cut = island.contains(sender) != island.contains(receiver);
                if (cut || down.contains(sender) || down.contains(receiver) || !handlers.containsKey(receiver)) {
                    return CompletableFuture.failedFuture(new TimeoutException());
                }
                return (CompletableFuture<A>) handlers.get(receiver).get(kind).handle(question);
            }
        };
    }

    public void down(int port) {
        down.add(port);
    }

    public void up(int port) {
        down.remove(port);
    }

    public void cutOff(Set<Integer> ports) {
        island.addAll(ports);
    }

    public void heal() {
        island.clear();
    }
}
