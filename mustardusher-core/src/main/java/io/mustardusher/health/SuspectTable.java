package io.mustardusher.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.mustardusher.time.Clock;

/**
 * Calls that were in flight when a backend server crashed. A call seen in one crash runs alone; one seen in two crashes
 * is refused until it is forgotten. A call that ran alone without a crash is cleared of the crashes known by then.
 */
public final class SuspectTable {

    /** Time after which a suspect is forgotten, in nanoseconds. */
    public static final long FORGET_NANOS = 600_000 * Clock.NANOS_PER_MILLI;

    /** Most suspects held. */
    private static final int CAPACITY = 10_000;

    private final Clock clock;

    /** Suspects by fingerprint. */
    private final Map<Long, Suspect> suspects = new HashMap<>();

    private final Rule rule;

    /**
     * Creates an empty table that isolates suspects.
     *
     * @param clock source of time
     */
    public SuspectTable(Clock clock) {
        this(clock, Rule.ISOLATE);
    }

    /**
     * Creates an empty table.
     *
     * @param clock source of time
     * @param rule  what becomes of a suspect
     */
    public SuspectTable(Clock clock, Rule rule) {
        this.clock = clock;
        this.rule = rule;
    }

    /**
     * Adds a call that was in flight in a crash.
     *
     * @param fingerprint hash over service, method, path and body
     * @param crash       number that names the crash
     * @return {@code true} if this was not known
     */
    public synchronized boolean add(long fingerprint, long crash) {
        if (suspects.size() >= CAPACITY && !suspects.containsKey(fingerprint)) {
            forget();
            if (suspects.size() >= CAPACITY) {
                return false;
            }
        }
        Suspect suspect = suspects.computeIfAbsent(fingerprint, key -> new Suspect());
        suspect.seenNanos = clock.nanoTime();
        return !suspect.cleared.contains(crash) && suspect.crashes.add(crash);
    }

    /**
     * Judges a call.
     *
     * @param fingerprint hash over service, method, path and body
     * @return what to do with it
     */
    public synchronized Judgement judge(long fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || clock.nanoTime() - suspect.seenNanos > FORGET_NANOS) {
            return Judgement.RUN;
        }
        if (suspect.crashes.isEmpty()) {
            return Judgement.RUN;
        }
        return rule.judge(suspect.crashes.size());
    }

    /**
     * Clears a call that ran alone without a crash.
     *
     * @param fingerprint hash over service, method, path and body
     */
    public synchronized void clear(long fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect != null) {
            suspect.cleared.addAll(suspect.crashes);
            suspect.crashes.clear();
        }
    }

    /**
     * Returns the suspects with their crashes.
     *
     * @param max most pairs to return
     * @return pairs of fingerprint and crash
     */
    public synchronized List<Sighting> sightings(int max) {
        forget();
        List<Sighting> all = new ArrayList<>();
        for (Map.Entry<Long, Suspect> entry : suspects.entrySet()) {
            for (Long crash : entry.getValue().crashes) {
                if (all.size() == max) {
                    return all;
                }
                all.add(new Sighting(entry.getKey(), crash));
            }
        }
        return all;
    }

    /** Removes suspects that were last seen long ago. */
    private void forget() {
        long now = clock.nanoTime();
        suspects.values().removeIf(suspect -> now - suspect.seenNanos > FORGET_NANOS);
    }

    /** What to do with a call. */
    public enum Judgement {
        /** Run it like any other. */
        RUN,

        /** Run it with no other beside it. */
        RUN_ALONE,

        /** Refuse it. */
        REFUSE
    }

    /**
     * A call seen in a crash.
     *
     * @param fingerprint hash over service, method, path and body
     * @param crash       number that names the crash
     */
    public record Sighting(long fingerprint, long crash) {}

    /** The crashes of one call. */
    private static final class Suspect {

        /** Crashes in which it was in flight and of which it is not cleared. */
        private final Set<Long> crashes = new HashSet<>();

        /** Crashes of which it is cleared. */
        private final Set<Long> cleared = new HashSet<>();

        /** Time of the last sighting, in nanoseconds. */
        private long seenNanos;
    }

    /** What becomes of a call that was in flight in crashes. */
    public enum Rule {
        /** After one crash it runs with no other call beside it, after two it is refused. */
        ISOLATE {
            @Override
            Judgement judge(int crashes) {
                return crashes >= 2 ? Judgement.REFUSE : Judgement.RUN_ALONE;
            }
        },

        /**
         * It runs as others do until the third crash. For servers whose calls repeat: many harmless calls are in flight
         * in one crash, few in three.
         */
        COUNT {
            @Override
            Judgement judge(int crashes) {
                return crashes >= 3 ? Judgement.REFUSE : Judgement.RUN;
            }
        };

        abstract Judgement judge(int crashes);
    }
}
