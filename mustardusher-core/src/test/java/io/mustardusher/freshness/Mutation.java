package io.mustardusher.freshness;

import java.util.OptionalLong;

import io.mustardusher.time.Clock;

/** A deliberate defect of the lease that the histories must detect. */
enum Mutation {
    NONE,

    /** The age counts from the receipt of an answer instead of the sending of its request. */
    AGE_FROM_RECEIPT {
        @Override
        FreshnessLease lease(ElapsedTime time, FreshnessLimits limits) {
            return new FreshnessLease(time, limits) {
                @Override
                public boolean renew(long momentNanos, long newest, long inForce) {
                    return super.renew(time.nanos(), newest, inForce);
                }
            };
        }
    },

    /** The time that passes during a suspension is not part of the age. */
    SUSPENSION_NOT_COUNTED {
        @Override
        Clock clock(Clock clock) {
            return new Clock() {
                @Override
                public long nanoTime() {
                    return clock.nanoTime();
                }

                @Override
                public long epochMillis() {
                    return clock.nanoTime() / NANOS_PER_MILLI;
                }
            };
        }
    },

    /** The age is measured by the wall clock, which may be set back. */
    WALL_CLOCK_ONLY {
        @Override
        Clock clock(Clock clock) {
            return new Clock() {
                @Override
                public long nanoTime() {
                    return clock.epochMillis() * NANOS_PER_MILLI;
                }

                @Override
                public long epochMillis() {
                    return clock.epochMillis();
                }
            };
        }
    },

    /** The lease is renewed although a newer version, known to the table service or a peer, is not in force here. */
    NEWER_VERSION_IGNORED {
        @Override
        FreshnessLease lease(ElapsedTime time, FreshnessLimits limits) {
            return new FreshnessLease(time, limits) {
                @Override
                public boolean renew(long momentNanos, long newest, long inForce) {
                    return super.renew(momentNanos, Math.min(newest, inForce), inForce);
                }
            };
        }
    },

    /** The age that a peer states is not added to the own one. */
    PEER_AGE_IGNORED {
        @Override
        FreshnessStatement received(FreshnessStatement statement) {
            return new FreshnessStatement(statement.version(), OptionalLong.of(0));
        }
    },

    /** Keys are checked by a version although the lease has run out. */
    EXPIRY_IGNORED {
        @Override
        FreshnessLease lease(ElapsedTime time, FreshnessLimits limits) {
            return new FreshnessLease(time, limits) {
                @Override
                public boolean covers(long version) {
                    return ageNanos().isPresent();
                }
            };
        }
    };

    FreshnessLease lease(ElapsedTime time, FreshnessLimits limits) {
        return new FreshnessLease(time, limits);
    }

    Clock clock(Clock clock) {
        return clock;
    }

    FreshnessStatement received(FreshnessStatement statement) {
        return statement;
    }
}
