package io.mustardusher.keys;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

import io.mustardusher.claim.ClaimGroup;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.ClaimGroupRecord;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.generated.ProbeQuestion;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.time.Clock;

/** The keepers of other nodes' services, asked of the nodes that serve them and kept for a while. */
public final class GroupCache {

    /** Time for which an answer is used, in nanoseconds. */
    private static final long FRESH_NANOS = 2_000 * Clock.NANOS_PER_MILLI;

    /** Nodes asked at once; the latest epoch among their answers is used. */
    private static final int ASKED = 2;

    /** What is known of nodes. */
    private final MemberTable members;

    /** This node as a keeper. */
    private final Keepers keepers;

    /** Asks other nodes. */
    private final Peers peers;

    /** The keepers' rows, read where no node answers. */
    private final KeeperStore store;

    private final Clock clock;

    /** Answers by service. */
    private final Map<String, Known> known = new ConcurrentHashMap<>();

    /**
     * Creates an empty cache.
     *
     * @param members what is known of nodes
     * @param keepers this node as a keeper
     * @param peers   asks other nodes
     * @param store   the keepers' rows
     * @param clock   source of time
     */
    public GroupCache(MemberTable members, Keepers keepers, Peers peers, KeeperStore store, Clock clock) {
        this.members = members;
        this.keepers = keepers;
        this.peers = peers;
        this.store = store;
        this.clock = clock;
    }

    /**
     * Finds the keepers of a service.
     *
     * @param service name of the service
     * @param anew    whether to ask even if an answer is kept
     * @return the keepers, or empty if no one knows
     */
    public CompletableFuture<Optional<ClaimGroup>> find(String service, boolean anew) {
        Optional<ClaimGroup> own = keepers.ledger(service).flatMap(ledger -> ledger.group());
        if (own.isPresent() && !anew) {
            return CompletableFuture.completedFuture(own);
        }
        Known present = known.get(service);
        boolean fresh = present != null && clock.nanoTime() - present.atNanos < FRESH_NANOS;
        if (fresh && !anew) {
            return CompletableFuture.completedFuture(Optional.of(present.group));
        }
        return ask(service)
                .thenCompose(group -> group.isPresent()
                        ? CompletableFuture.completedFuture(group)
                        : store.read(service)
                                .handle((row, failure) -> failure != null || row.isEmpty()
                                        ? own
                                        : Optional.of(keep(service, row.get().group()))));
    }

    /**
     * Asks nodes that serve a service.
     *
     * @param service name of the service
     * @return the keepers of the latest epoch that was answered, or empty
     */
    private CompletableFuture<Optional<ClaimGroup>> ask(String service) {
        List<MemberRecord> servers = new ArrayList<>(members.members().stream()
                .filter(member -> service.equals(member.getService()))
                .filter(member -> MemberState.of(member) == MemberState.ALIVE)
                .toList());
        Collections.shuffle(servers);
        ProbeQuestion question = new ProbeQuestion().withService(service);
        List<CompletableFuture<ClaimGroupRecord>> answers = servers.stream()
                .limit(ASKED)
                .map(member -> this.askOne(member, question))
                .toList();
        return CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> latest(service, answers.stream().map(CompletableFuture::join)));
    }

    /**
     * Asks one node.
     *
     * @param member   the node
     * @param question the question
     * @return the answer, or {@code null} if none came
     */
    private CompletableFuture<ClaimGroupRecord> askOne(MemberRecord member, ProbeQuestion question) {
        InetSocketAddress address = new InetSocketAddress(member.getHost(), (int) member.getFramePort());
        CompletableFuture<ClaimGroupRecord> answer =
                peers.request(address, FrameKind.GROUP, question, Keepers.ASK_MILLIS);
        return answer.exceptionally(failure -> null);
    }

    /**
     * Finds the latest epoch among answers.
     *
     * @param service name of the service
     * @param answers the answers, with {@code null} for none
     * @return the keepers, or empty without an answer
     */
    private Optional<ClaimGroup> latest(String service, Stream<ClaimGroupRecord> answers) {
        return answers.filter(answer -> answer != null)
                .map(ClaimGroup::from)
                .reduce((a, b) -> a.current().number() >= b.current().number() ? a : b)
                .map(group -> keep(service, group));
    }

    /**
     * Keeps an answer.
     *
     * @param service name of the service
     * @param group   the keepers
     * @return the keepers
     */
    private ClaimGroup keep(String service, ClaimGroup group) {
        known.put(service, new Known(group, clock.nanoTime()));
        return group;
    }

    /**
     * An answer.
     *
     * @param group   the keepers
     * @param atNanos time of the answer, in nanoseconds
     */
    private record Known(ClaimGroup group, long atNanos) {}
}
