package review;

import java.util.Random;

/** Something that goes wrong on a link. */
enum LinkFault {
    /** Bytes arrive later, each piece by another time. */
    DELAY {
        @Override
        Runnable begin(Relay.Connection connection, Random random) {
            int millis = 1 + random.nextInt(400);
            connection.addDelay(millis);
            return () -> connection.addDelay(-millis);
        }
    },
    /** Few bytes arrive at a time. */
    SLOW {
        @Override
        Runnable begin(Relay.Connection connection, Random random) {
            int bytes = 1 + random.nextInt(random.nextBoolean() ? 40 : 400);
            connection.limitPieces(bytes);
            return () -> connection.limitPieces(Integer.MAX_VALUE);
        }
    },
    /** The connection is reset, mostly within a message. */
    RESET {
        @Override
        Runnable begin(Relay.Connection connection, Random random) {
            connection.breakWithin(random.nextBoolean(), random.nextInt(random.nextBoolean() ? 200 : 2000), true);
            return () -> connection.reset("reset while idle");
        }
    },
    /** The stream ends in one direction, mostly within a message, and the other goes on. */
    HALF_CLOSE {
        @Override
        Runnable begin(Relay.Connection connection, Random random) {
            connection.breakWithin(random.nextBoolean(), random.nextInt(random.nextBoolean() ? 200 : 2000), false);
            return connection::disarm;
        }
    },
    /** Nothing arrives at the target. */
    ONE_WAY_TO {
        @Override
        Runnable begin(Relay.Connection connection, Random random) {
            return hold(connection, random, connection.to);
        }
    },
    /** Nothing arrives from the target. */
    ONE_WAY_FROM {
        @Override
        Runnable begin(Relay.Connection connection, Random random) {
            return hold(connection, random, connection.from);
        }
    },
    /** Nothing arrives in either direction. */
    CUT {
        @Override
        Runnable begin(Relay.Connection connection, Random random) {
            return hold(connection, random, connection.to, connection.from);
        }
    },
    /** Connections are accepted and nothing is forwarded on them, also when the fault has ended. */
    SILENCE {
        @Override
        Runnable begin(Relay.Connection connection, Random random) {
            connection.silence();
            return () -> {};
        }
    },
    /** No connection is accepted; those that exist go on. */
    REFUSE {
        @Override
        Runnable begin(Relay.Connection connection, Random random) {
            return () -> {};
        }
    };

    /** Harms a connection; the returned task is run when the fault ends. */
    abstract Runnable begin(Relay.Connection connection, Random random);

    private static Runnable hold(Relay.Connection connection, Random random, Relay.Flow... flows) {
        for (Relay.Flow flow : flows) {
            flow.hold();
        }
        boolean lost = random.nextInt(3) == 0;
        return () -> {
            if (lost) {
                connection.reset("reset with held bytes");
                return;
            }
            for (Relay.Flow flow : flows) {
                flow.release();
            }
        };
    }
}
