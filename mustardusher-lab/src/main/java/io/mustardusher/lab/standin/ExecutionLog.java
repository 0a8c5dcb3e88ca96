package io.mustardusher.lab.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts the executions of all backend servers by request and by server. Comparing the counts with the outcomes that
 * callers received reveals repeated and lost executions.
 */
public final class ExecutionLog {

    private final Map<String, AtomicInteger> countsByRequest = new ConcurrentHashMap<>();

    private final Map<String, AtomicInteger> countsByServer = new ConcurrentHashMap<>();

    /**
     * Records an execution when it starts.
     *
     * @param id     id of the request
     * @param server name of the executing server
     */
    public void record(String id, String server) {
        countsByRequest.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        countsByServer.computeIfAbsent(server, key -> new AtomicInteger()).incrementAndGet();
    }

    /**
     * Returns how often a request was executed, on any server.
     *
     * @param id id of the request
     * @return number of executions
     */
    public int countByRequest(String id) {
        AtomicInteger count = countsByRequest.get(id);
        return count == null ? 0 : count.get();
    }

    /**
     * Returns how many executions a server started.
     *
     * @param server name of the server
     * @return number of executions
     */
    public int countByServer(String server) {
        AtomicInteger count = countsByServer.get(server);
        return count == null ? 0 : count.get();
    }

    /**
     * Returns how many executions all servers started.
     *
     * @return number of executions
     */
    public int total() {
        return countsByServer.values().stream().mapToInt(AtomicInteger::get).sum();
    }
}
