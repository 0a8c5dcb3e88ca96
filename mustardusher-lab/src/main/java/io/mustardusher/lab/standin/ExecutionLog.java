package io.mustardusher.lab.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Every execution of every backend server, by the request's id; what was doubled or lost is counted from it. */
public final class ExecutionLog {

    /** Executions by id. */
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

    /** Executions by server. */
    private final Map<String, AtomicInteger> servers = new ConcurrentHashMap<>();

    /**
     * Records that an execution begins.
     *
     * @param id     id of the request
     * @param server the server
     */
    public void begin(String id, String server) {
        executions.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        servers.computeIfAbsent(server, key -> new AtomicInteger()).incrementAndGet();
    }

    /**
     * Counts the executions of a request.
     *
     * @param id id of the request
     * @return the number
     */
    public int count(String id) {
        AtomicInteger count = executions.get(id);
        return count == null ? 0 : count.get();
    }

    /**
     * Counts the executions of a server.
     *
     * @param server the server
     * @return the number
     */
    public int countOf(String server) {
        AtomicInteger count = servers.get(server);
        return count == null ? 0 : count.get();
    }

    /**
     * Counts all executions.
     *
     * @return the number
     */
    public int total() {
        return servers.values().stream().mapToInt(AtomicInteger::get).sum();
    }
}
