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

/**
 * Counts of calls by result, and latencies of successful calls. Latencies are measured from the intended start, so that
 * delays of the generator itself are included.
 */
public final class Tally {

    /** Upper bound of recorded latencies; longer ones are recorded as this value. */
    private static final long MAX_LATENCY_MICROS = 60_000_000L;

    /** Significant decimal digits of recorded latencies. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /** Latencies of successful calls, in microseconds. */
    private final Histogram latencies = new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

    private final Map<String, Histogram> latenciesByService = new ConcurrentHashMap<>();

    private final Map<CallResult, LongAdder> results = new EnumMap<>(CallResult.class);

    /** Results of calls that did not end with {@link CallResult#OK}, by id. */
    private final Map<String, CallResult> otherResults = new ConcurrentHashMap<>();

    /** Ids of calls that are not idempotent, used as a set. */
    private final Map<String, Boolean> nonIdempotentCalls = new ConcurrentHashMap<>();

    /** Counts of responses by the number of their result code. */
    private final Map<String, AtomicInteger> codeCounts = new ConcurrentHashMap<>();

    /** Number of calls started. */
    private final LongAdder calls = new LongAdder();

    /** Number of calls that succeeded within their deadline. */
    private final LongAdder inTime = new LongAdder();

    /** Number of attempts after the first of each call. */
    private final LongAdder retries = new LongAdder();

    /** Number of attempts whose connection broke because the entry was killed. */
    private final LongAdder connectionsBrokenByKill = new LongAdder();

    /** Latencies of successful calls, by second of the intended start. */
    private final Map<Integer, Histogram> latenciesBySecond = new ConcurrentHashMap<>();

    /** Creates a tally without any calls. */
    public Tally() {
        for (CallResult result : CallResult.values()) {
            results.put(result, new LongAdder());
        }
    }

    /**
     * Records the start of a call.
     *
     * @param id            unique id of the call
     * @param nonIdempotent whether the call is not idempotent
     */
    void recordStart(String id, boolean nonIdempotent) {
        calls.increment();
        if (nonIdempotent) {
            nonIdempotentCalls.put(id, Boolean.TRUE);
        }
    }

    /** Records an attempt after the first. */
    void recordRetry() {
        retries.increment();
    }

    /** Records an attempt whose connection broke because the entry was killed. */
    void recordConnectionBrokenByKill() {
        connectionsBrokenByKill.increment();
    }

    /**
     * Records the result code of a response.
     *
     * @param code number of the code, or {@code none}
     */
    void recordCode(String code) {
        codeCounts.computeIfAbsent(code, key -> new AtomicInteger()).incrementAndGet();
    }

    /**
     * Records the end of a call.
     *
     * @param id             unique id of the call
     * @param service        service that was called
     * @param result         result of the call
     * @param latencyMicros  time since the intended start, in microseconds
     * @param deadlineMillis time allowed for the call, in milliseconds
     * @param second         second of the intended start, from the start of the load
     */
    void recordEnd(String id, String service, CallResult result, long latencyMicros, long deadlineMillis, int second) {
        results.get(result).increment();
        if (result != CallResult.OK) {
            otherResults.put(id, result);
            return;
        }
        long recordedMicros = Math.min(latencyMicros, MAX_LATENCY_MICROS);
        latencies.recordValue(recordedMicros);
        latenciesByService
                .computeIfAbsent(service, key -> new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS))
                .recordValue(recordedMicros);
        latenciesBySecond
                .computeIfAbsent(second, key -> new ConcurrentHistogram(MAX_LATENCY_MICROS, 2))
                .recordValue(recordedMicros);
        if (latencyMicros <= deadlineMillis * 1000) {
            inTime.increment();
        }
    }

    /**
     * Returns the number of calls that ended with a result.
     *
     * @param result the result
     * @return number of calls
     */
    public long count(CallResult result) {
        return results.get(result).sum();
    }

    /**
     * Returns the number of calls started.
     *
     * @return number of calls
     */
    public long calls() {
        return calls.sum();
    }

    /**
     * Returns the number of calls that ended, with any result.
     *
     * @return number of calls
     */
    public long ended() {
        return results.values().stream().mapToLong(LongAdder::sum).sum();
    }

    /**
     * Returns the number of calls that succeeded within their deadline.
     *
     * @return number of calls
     */
    public long inTime() {
        return inTime.sum();
    }

    /**
     * Returns the number of attempts after the first of each call.
     *
     * @return number of attempts
     */
    public long retries() {
        return retries.sum();
    }

    /**
     * Returns the number of attempts whose connection broke because the entry was killed.
     *
     * @return number of attempts
     */
    public long connectionsBrokenByKill() {
        return connectionsBrokenByKill.sum();
    }

    /**
     * Returns how often each result code was received.
     *
     * @return number of responses by number of the code; {@code none} for responses without a code
     */
    public Map<String, Integer> codes() {
        Map<String, Integer> counts = new TreeMap<>();
        codeCounts.forEach((code, count) -> counts.put(code, count.get()));
        return counts;
    }

    /**
     * Returns the number of non-idempotent calls that were executed more than once.
     *
     * @param executions executions recorded by the backend servers
     * @return number of calls
     */
    public long duplicatedCalls(ExecutionLog executions) {
        return nonIdempotentCalls.keySet().stream()
                .filter(id -> executions.countByRequest(id) > 1)
                .count();
    }

    /**
     * Returns the number of calls that ended with {@link CallResult#NOT_RUN} although a backend server executed them.
     *
     * @param executions executions recorded by the backend servers
     * @return number of calls
     */
    public long falseNotRun(ExecutionLog executions) {
        return otherResults.entrySet().stream()
                .filter(call -> call.getValue() == CallResult.NOT_RUN)
                .filter(call -> executions.countByRequest(call.getKey()) > 0)
                .count();
    }

    /**
     * Returns a percentile of the latencies of successful calls.
     *
     * @param percentile the percentile, between 0 and 100
     * @return latency in microseconds
     */
    public long latencyMicros(double percentile) {
        return latencies.getValueAtPercentile(percentile);
    }

    /**
     * Returns the latencies of successful calls by service.
     *
     * @return histograms in microseconds, by name of the service
     */
    public Map<String, Histogram> latenciesByService() {
        return new TreeMap<>(latenciesByService);
    }

    /**
     * Returns the latencies of successful calls by second.
     *
     * @return histograms in microseconds, by second of the intended start
     */
    public Map<Integer, Histogram> latenciesBySecond() {
        return new TreeMap<>(latenciesBySecond);
    }

    /**
     * Returns the latencies of all successful calls.
     *
     * @return histogram in microseconds
     */
    public Histogram latencies() {
        return latencies;
    }
}
