package io.mustardusher.lab.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

import io.mustardusher.lab.standin.ExecutionLog;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts of calls and their latencies, from the intended start of each. */
public final class Tally {

    /** Longest latency recorded, in microseconds. */
    private static final long MAX_MICROS = 60_000_000L;

    /** Digits of latencies that are kept. */
    private static final int DIGITS = 3;

    /** Latencies of answered calls, in microseconds. */
    private final Histogram latencies = new ConcurrentHistogram(MAX_MICROS, DIGITS);

    /** Latencies by service. */
    private final Map<String, Histogram> byService = new ConcurrentHashMap<>();

    private final Map<CallResult, LongAdder> results = new EnumMap<>(CallResult.class);

    /** Results of calls by id, but for those answered once as expected. */
    private final Map<String, CallResult> finals = new ConcurrentHashMap<>();

    /** Ids of calls that are not idempotent. */
    private final Map<String, Boolean> writes = new ConcurrentHashMap<>();

    /** Numbers of result codes that callers were told. */
    private final Map<String, AtomicInteger> codes = new ConcurrentHashMap<>();

    /** Calls started. */
    private final LongAdder calls = new LongAdder();

    /** Calls answered within their deadline. */
    private final LongAdder inTime = new LongAdder();

    /** Further sends by callers. */
    private final LongAdder resends = new LongAdder();

    /** Broken connections to killed entries. */
    private final LongAdder broken = new LongAdder();

    /** Answered calls by second of their intended start. */
    private final Map<Integer, Histogram> seconds = new ConcurrentHashMap<>();

    /** Creates an empty tally. */
    public Tally() {
        for (CallResult result : CallResult.values()) {
            results.put(result, new LongAdder());
        }
    }

    /**
     * Notes the start of a call.
     *
     * @param id    its id
     * @param write whether it is not idempotent
     */
    void started(String id, boolean write) {
        calls.increment();
        if (write) {
            writes.put(id, Boolean.TRUE);
        }
    }

    /** Notes a further send of a caller. */
    void resent() {
        resends.increment();
    }

    /** Notes a broken connection to a killed entry. */
    void brokenByKill() {
        broken.increment();
    }

    /**
     * Notes a result code.
     *
     * @param code its number
     */
    void code(String code) {
        codes.computeIfAbsent(code, key -> new AtomicInteger()).incrementAndGet();
    }

    /**
     * Notes the end of a call.
     *
     * @param id             its id
     * @param service        its service
     * @param result         its result
     * @param micros         time since its intended start, in microseconds
     * @param deadlineMillis its deadline, in milliseconds
     * @param second         second of its intended start
     */
    void ended(String id, String service, CallResult result, long micros, long deadlineMillis, int second) {
        results.get(result).increment();
        if (result != CallResult.OK) {
            finals.put(id, result);
            return;
        }
        long kept = Math.min(micros, MAX_MICROS);
        latencies.recordValue(kept);
        byService
                .computeIfAbsent(service, key -> new ConcurrentHistogram(MAX_MICROS, DIGITS))
                .recordValue(kept);
        seconds.computeIfAbsent(second, key -> new ConcurrentHistogram(MAX_MICROS, 2))
                .recordValue(kept);
        if (micros <= deadlineMillis * 1000) {
            inTime.increment();
        }
    }

    /**
     * Counts calls of a result.
     *
     * @param result the result
     * @return the number
     */
    public long count(CallResult result) {
        return results.get(result).sum();
    }

    /**
     * Counts the calls started.
     *
     * @return the number
     */
    public long calls() {
        return calls.sum();
    }

    /**
     * Counts the calls ended.
     *
     * @return the number
     */
    public long ended() {
        return results.values().stream().mapToLong(LongAdder::sum).sum();
    }

    /**
     * Counts the calls answered within their deadline.
     *
     * @return the number
     */
    public long inTime() {
        return inTime.sum();
    }

    /**
     * Counts the further sends of callers.
     *
     * @return the number
     */
    public long resends() {
        return resends.sum();
    }

    /**
     * Counts broken connections to killed entries.
     *
     * @return the number
     */
    public long broken() {
        return broken.sum();
    }

    /**
     * Returns the result codes that callers were told.
     *
     * @return counts by number
     */
    public Map<String, Integer> codes() {
        Map<String, Integer> counts = new TreeMap<>();
        codes.forEach((code, count) -> counts.put(code, count.get()));
        return counts;
    }

    /**
     * Counts calls that are not idempotent and ran more than once.
     *
     * @param executions what the servers executed
     * @return the number
     */
    public long doubled(ExecutionLog executions) {
        return writes.keySet().stream()
                .filter(id -> executions.countByRequest(id) > 1)
                .count();
    }

    /**
     * Counts calls that were told to be not run and ran.
     *
     * @param executions what the servers executed
     * @return the number
     */
    public long falseNotRun(ExecutionLog executions) {
        return finals.entrySet().stream()
                .filter(end -> end.getValue() == CallResult.NOT_RUN)
                .filter(end -> executions.countByRequest(end.getKey()) > 0)
                .count();
    }

    /**
     * Returns a latency.
     *
     * @param percentile the percentile
     * @return latency in microseconds
     */
    public long micros(double percentile) {
        return latencies.getValueAtPercentile(percentile);
    }

    /**
     * Returns the latencies of a service.
     *
     * @return latencies by service, in microseconds
     */
    public Map<String, Histogram> byService() {
        return new TreeMap<>(byService);
    }

    /**
     * Returns the latencies by second.
     *
     * @return latencies by second of the intended start, in microseconds
     */
    public Map<Integer, Histogram> seconds() {
        return new TreeMap<>(seconds);
    }

    /**
     * Returns all latencies.
     *
     * @return latencies in microseconds
     */
    public Histogram latencies() {
        return latencies;
    }
}
