package io.mustardusher.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import io.mustardusher.catalogue.ServiceClass;
import io.mustardusher.result.ResultCode;
import io.mustardusher.routing.Mobility;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Order of queued calls; each test names the calls that would starve or be served too late otherwise. */
class TargetQueueTest {

    private static final long SERVICE_NANOS = 10;

    private final TargetQueue queue = new TargetQueue(ticket -> SERVICE_NANOS);

    /** Guards against a change for deployments without accounts, nested calls and route priorities. */
    @Test
    void ordersByClassAndTargetWithoutPrecedences() {
        Random random = new Random(4711);
        List<Ticket> expected = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            ServiceClass serviceClass = ServiceClass.values()[random.nextInt(3)];
            Ticket ticket = ticket(serviceClass, 1_000 + 7 * i % 200, Ticket.Precedence.NONE);
            queue.add(ticket);
            expected.add(ticket);
        }
        expected.sort(Comparator.comparing((Ticket ticket) -> ticket.serviceClass)
                .thenComparing(ticket -> 1_100 > ticket.latencyTarget.targetNanos())
                .thenComparing(ticket -> ticket.latencyTarget.targetNanos()));
        Ticket newcomer = ticket(ServiceClass.CRITICAL, 1_150, Ticket.Precedence.NONE);
        newcomer.arrivedNanos = 1_100 - SERVICE_NANOS;
        assertThat(queue.findEvictionCandidate(newcomer)).isEqualTo(expected.get(expected.size() - 1));
        List<Ticket> dispatched = new ArrayList<>();
        while (queue.size() > 0) {
            dispatched.add(dispatch(1_100 - SERVICE_NANOS));
        }
        assertThat(dispatched).containsExactlyElementsIn(expected).inOrder();
    }

    /** The parent of a nested call already holds a slot of another server while it waits. */
    @Test
    void nestedCallsPrecedeOthersOfTheirRank() {
        Ticket higher = add(ServiceClass.CRITICAL, 900, 0, false, "");
        Ticket otherRoute = add(ServiceClass.STANDARD, 100, 1, true, "");
        Ticket plain = add(ServiceClass.STANDARD, 100, 0, false, "");
        Ticket nested = add(ServiceClass.STANDARD, 500, 0, true, "");
        assertThat(queue.countAhead(ticket(ServiceClass.STANDARD, 100, new Ticket.Precedence(0, true, ""))))
                .isEqualTo(2);
        assertThat(dispatchAll())
                .containsExactly(higher, nested, plain, otherRoute)
                .inOrder();
    }

    @Test
    void callsOfAccountsWithFewCallsPrecedeThoseOfHotAccount() {
        Ticket running = add(ServiceClass.STANDARD, 100, 0, false, "hot");
        assertThat(dispatch(0)).isEqualTo(running);
        Ticket hot = add(ServiceClass.STANDARD, 100, 0, false, "hot");
        Ticket small = add(ServiceClass.STANDARD, 200, 0, false, "small");
        assertThat(queue.findEvictionCandidate(
                        ticket(ServiceClass.STANDARD, 300, new Ticket.Precedence(0, false, "other"))))
                .isEqualTo(hot);
        assertThat(dispatch(0)).isEqualTo(small);
        queue.onCompletion(running);
        queue.onCompletion(small);
        assertThat(dispatch(0)).isEqualTo(hot);
    }

    /** Guards against a rank that is not served at all while a higher one keeps the queue full. */
    @Test
    void lowerRanksAreServedOnceInSixteenDispatches() {
        int served = 0;
        add(ServiceClass.BACKGROUND, 1_000, 0, false, "a");
        add(ServiceClass.STANDARD, 1_000, 2, false, "a");
        for (int i = 0; i < 160; i++) {
            add(ServiceClass.CRITICAL, 500, 0, false, "a");
            Ticket next = dispatch(0);
            queue.onCompletion(next);
            if (next.serviceClass != ServiceClass.CRITICAL) {
                served++;
                add(next.serviceClass, 1_000, next.precedence.routePriority(), false, "a");
            }
        }
        assertThat(served).isIn(List.of(18, 19, 20));
    }

    /** Guards against a lower rank that waits for a slow server and holds up higher ones with its turn. */
    @Test
    void deferredCallLosesTurnOutOfOrder() {
        Ticket lower = add(ServiceClass.BACKGROUND, 1_000, 0, false, "a");
        for (int i = 0; i < 15; i++) {
            add(ServiceClass.CRITICAL, 500, 0, false, "a");
            queue.onCompletion(dispatch(0));
        }
        Ticket higher = add(ServiceClass.CRITICAL, 500, 0, false, "a");
        assertThat(queue.removeNext(0)).isEqualTo(lower);
        assertThat(queue.defer(lower)).isTrue();
        assertThat(queue.removeNext(0)).isEqualTo(higher);
        assertThat(queue.defer(higher)).isFalse();
    }

    /** Guards against a lower rank that never waits because a full queue evicts it at once. */
    @Test
    void fullQueueKeepsOnePlaceForEachLowerRank() {
        Ticket first = add(ServiceClass.CRITICAL, 100, 0, false, "a");
        Ticket last = add(ServiceClass.CRITICAL, 200, 0, false, "a");
        Ticket lower = ticket(ServiceClass.BACKGROUND, 100, new Ticket.Precedence(0, false, "a"));
        assertThat(queue.findEvictionCandidate(lower)).isEqualTo(last);
        queue.remove(last);
        queue.add(lower);
        assertThat(queue.findEvictionCandidate(
                        ticket(ServiceClass.BACKGROUND, 150, new Ticket.Precedence(0, false, "a"))))
                .isNull();
        assertThat(dispatch(0)).isEqualTo(first);
    }

    /** Guards against an account that is not served at all because many others have fewer calls. */
    @Test
    void oneOfSixteenDispatchesIgnoresAccounts() {
        Ticket hot = add(ServiceClass.STANDARD, 10, 0, false, "hot");
        assertThat(dispatch(0)).isEqualTo(hot);
        Ticket waiting = add(ServiceClass.STANDARD, 100, 0, false, "hot");
        int dispatches = 0;
        Ticket next;
        do {
            add(ServiceClass.STANDARD, 500, 0, false, "small-" + dispatches++);
            next = dispatch(0);
        } while (next != waiting);
        assertThat(dispatches).isEqualTo(16);
    }

    private List<Ticket> dispatchAll() {
        List<Ticket> dispatched = new ArrayList<>();
        while (queue.size() > 0) {
            dispatched.add(dispatch(0));
        }
        return dispatched;
    }

    private Ticket dispatch(long now) {
        Ticket next = queue.removeNext(now);
        next.dispatchedNanos = now;
        queue.onDispatch(next);
        return next;
    }

    private Ticket add(ServiceClass serviceClass, long target, int routePriority, boolean nested, String account) {
        Ticket ticket = ticket(serviceClass, target, new Ticket.Precedence(routePriority, nested, account));
        queue.add(ticket);
        return ticket;
    }

    private static Ticket ticket(ServiceClass serviceClass, long target, Ticket.Precedence precedence) {
        return new Ticket(
                "kind",
                serviceClass,
                10_000,
                false,
                new Ignoring(),
                new Ticket.LatencyTarget(target, Mobility.FIXED),
                precedence);
    }

    private static final class Ignoring implements AdmissionListener {

        @Override
        public void onAdmitted() {
            // the queue alone is tested
        }

        @Override
        public void onRejected(ResultCode code) {
            // the queue alone is tested
        }
    }
}
