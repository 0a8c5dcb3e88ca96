package io.mustardusher.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.mustardusher.time.Clock;

/**
 * Calls that were in flight when a backend server crashed and are suspected of having caused the crash. A
 * {@link Policy} decides after how many crashes a suspect runs without concurrent calls or is rejected. A call that ran
 * without concurrent calls and without a crash is cleared of all crashes known at that time.
 */
public final class SuspectTable {

    /** Time after the last report at which a suspect expires, in nanoseconds. */
    public static final long EXPIRY_NANOS = 600_000 * Clock.NANOS_PER_MILLI;

    /** Maximum number of suspects. */
    private static final int MAX_SUSPECTS = 10_000;

    private final Clock clock;

    /** Suspects by fingerprint. */
    private final Map<Long, Suspect> suspects = new HashMap<>();

    private final Policy policy;

    /**
     * Creates an empty table with the policy {@link Policy#ISOLATE}.
     *
     * @param clock source of time
     */
    public SuspectTable(Clock clock) {
        this(clock, Policy.ISOLATE);
    }

    /**
     * Creates an empty table.
     *
     * @param clock  source of time
     * @param policy how suspects are treated
     */
    public SuspectTable(Clock clock, Policy policy) {
        this.clock = clock;
        this.policy = policy;
    }

    /**
     * Records that a call was in flight when a backend server crashed. A new suspect is ignored if the table is full.
     *
     * @param fingerprint hash of service, method, path and body
     * @param crashId     id of the crash
     * @return {@code true} if the report is new and the call is not cleared of the crash
     */
    public synchronized boolean add(long fingerprint, long crashId) {
        if (suspects.size() >= MAX_SUSPECTS && !suspects.containsKey(fingerprint)) {
            evictExpired();
            if (suspects.size() >= MAX_SUSPECTS) {
                return false;
            }
        }
        Suspect suspect = suspects.computeIfAbsent(fingerprint, key -> new Suspect());
        suspect.lastReportNanos = clock.nanoTime();
        return !suspect.cleared.contains(crashId) && suspect.crashes.add(crashId);
    }

    /**
     * Returns how a call is to be treated.
     *
     * @param fingerprint hash of service, method, path and body
     * @return action that the policy prescribes; {@link Action#RUN} for a call that is not suspected
     */
    public synchronized Action actionFor(long fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || clock.nanoTime() - suspect.lastReportNanos > EXPIRY_NANOS) {
            return Action.RUN;
        }
        if (suspect.crashes.isEmpty()) {
            return Action.RUN;
        }
        return policy.actionAfter(suspect.crashes.size());
    }

    /**
     * Clears a call of all crashes known so far, after it ran without concurrent calls and without a crash.
     *
     * @param fingerprint hash of service, method, path and body
     */
    public synchronized void clear(long fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect != null) {
            suspect.cleared.addAll(suspect.crashes);
            suspect.crashes.clear();
        }
    }

    /**
     * Returns the current reports, one for each pair of a suspect and a crash.
     *
     * @param max maximum number of reports to return
     * @return reports in no particular order
     */
    public synchronized List<SuspectReport> reports(int max) {
        evictExpired();
        List<SuspectReport> reports = new ArrayList<>();
        for (Map.Entry<Long, Suspect> entry : suspects.entrySet()) {
            for (Long crashId : entry.getValue().crashes) {
                if (reports.size() == max) {
                    return reports;
                }
                reports.add(new SuspectReport(entry.getKey(), crashId));
            }
        }
        return reports;
    }

    private void evictExpired() {
        long now = clock.nanoTime();
        suspects.values().removeIf(suspect -> now - suspect.lastReportNanos > EXPIRY_NANOS);
    }

    /** How a call is treated. */
    public enum Action {
        /** Run the call normally. */
        RUN,

        /** Run the call without concurrent calls at the same backend server. */
        RUN_EXCLUSIVELY,

        /** Reject the call. */
        REJECT
    }

    /**
     * Reports that a call was in flight in a crash.
     *
     * @param fingerprint hash of service, method, path and body
     * @param crashId     id of the crash
     */
    public record SuspectReport(long fingerprint, long crashId) {}

    private static final class Suspect {

        /** Crashes in which the call was in flight and of which it is not cleared. */
        private final Set<Long> crashes = new HashSet<>();

        /** Crashes of which the call is cleared. */
        private final Set<Long> cleared = new HashSet<>();

        /** Time of the last report, in nanoseconds. */
        private long lastReportNanos;
    }

    /** Decides how a call is treated after the crashes in which it was in flight. */
    public enum Policy {
        /** Runs a call without concurrent calls after one crash, and rejects it after two. */
        ISOLATE {
            @Override
            Action actionAfter(int crashes) {
                return crashes >= 2 ? Action.REJECT : Action.RUN_EXCLUSIVELY;
            }
        },

        /**
         * Runs a call normally until its third crash, and rejects it then. Suits servers that receive the same calls
         * repeatedly: many harmless calls are in flight during one crash, but few during three.
         */
        REJECT_AFTER_THREE_CRASHES {
            @Override
            Action actionAfter(int crashes) {
                return crashes >= 3 ? Action.REJECT : Action.RUN;
            }
        };

        abstract Action actionAfter(int crashes);
    }
}
