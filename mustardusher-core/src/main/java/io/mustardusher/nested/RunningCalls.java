package io.mustardusher.nested;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * The calls that run at the backend server beside this node, by which the entry recognises their nested calls. The
 * identifier of a nested call is that of the running call, a dot, and a part of its own. Thread-safe.
 */
public final class RunningCalls {

    /** Identifier of calls to which their callers gave none. */
    private static final String NO_ID = "-";

    private final Map<String, RunningCall> byId = new ConcurrentHashMap<>();
    private final NestedCallForecast forecast;
    private final Consumer<String> overlaps;

    /**
     * Creates a registry without calls.
     *
     * @param forecast learns from the nested calls of each call that ends
     * @param overlaps receives the identifier of each call that is sent to the server before an earlier run of it has
     *     ended
     */
    public RunningCalls(NestedCallForecast forecast, Consumer<String> overlaps) {
        this.forecast = forecast;
        this.overlaps = overlaps;
    }

    /**
     * Returns what is known of the nested calls of each route.
     *
     * @return the forecast
     */
    public NestedCallForecast forecast() {
        return forecast;
    }

    /**
     * Adds a call that is sent to the server. Of two calls with the same identifier the later one is found.
     *
     * @param call the call
     */
    public void start(RunningCall call) {
        if (!call.id().equals(NO_ID) && byId.put(call.id(), call) != null) {
            overlaps.accept(call.id());
        }
    }

    /**
     * Removes a call whose response is complete or that was given up.
     *
     * @param call the call
     */
    public void end(RunningCall call) {
        byId.remove(call.id(), call);
        forecast.recordRun(call.route(), call.nestedCalls());
    }

    /**
     * Returns the running call that made a call.
     *
     * @param id identifier of the call
     * @return the running call, or empty if the call is not a nested call of one at this server
     */
    public Optional<RunningCall> findParent(String id) {
        int dot = id.lastIndexOf('.');
        boolean nested = dot > 0 && dot < id.length() - 1;
        return nested ? Optional.ofNullable(byId.get(id.substring(0, dot))) : Optional.empty();
    }
}
