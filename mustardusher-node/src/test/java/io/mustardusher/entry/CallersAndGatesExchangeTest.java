package io.mustardusher.entry;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import io.mustardusher.entry.CallersAndGatesExchange.Condition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against callers that get the answer to another request or to another run of theirs when nodes run at the same
 * time and the connections between them are lost. Over real sockets and event loops, since the simulation of shared
 * gates runs on one thread.
 */
@Timeout(240)
class CallersAndGatesExchangeTest {

    private static final int MIN_EXCHANGES = 3;

    /** Number of exchanges in which every condition has to be met at least once. */
    private static final int MAX_EXCHANGES = 20;

    private static final int ANSWERS = 250;

    @Test
    void eachRequestIsAnsweredWithItsOwnRun() throws IOException, InterruptedException {
        Map<Condition, AtomicInteger> conditions = CallersAndGatesExchange.noConditions();
        int seed = 0;
        while (seed < MIN_EXCHANGES
                || seed < MAX_EXCHANGES && !unmet(conditions).isEmpty()) {
            seed++;
            try (CallersAndGatesExchange exchange = new CallersAndGatesExchange(seed, conditions)) {
                assertWithMessage("seed " + seed).that(exchange.play(ANSWERS)).isEmpty();
            }
        }
        System.out.println(seed + " exchanges: " + conditions);
        assertWithMessage("conditions not met").that(unmet(conditions)).isEmpty();
    }

    private static List<Condition> unmet(Map<Condition, AtomicInteger> conditions) {
        return conditions.keySet().stream()
                .filter(condition -> conditions.get(condition).get() == 0)
                .toList();
    }
}
