package io.mustardusher.spread;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.mustardusher.budget.TokenBucket;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.Gossip;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.time.Clock;

/**
 * Rounds of gossip: each asks one member, spreads a bounded number of records, and marks a member that answers neither
 * this node nor a few others on its behalf.
 */
public final class Gossiper {

    /** Records spread in one message. */
    private static final int UPDATES = 10;

    /** Records in an answer to a node that asks for the whole table. */
    private static final int PAGE = 400;

    /** Members asked to reach one that did not answer. */
    private static final int HELPERS = 3;

    /** Time allowed for an answer, in milliseconds. */
    private static final long ASK_MILLIS = 500;

    /** Whole tables that may be asked for each second, on average. */
    private static final double FULL_PER_SECOND = 0.25;

    /** Whole tables that may be asked for in a burst. */
    private static final double FULL_BURST = 10;

    /** Rounds between two questions to members that failed. */
    private static final int ROUNDS_PER_FAILED = 5;

    /** What is known of nodes. */
    private final MemberTable members;

    /** Asks other nodes. */
    private final Peers peers;

    /** Compares revisions. */
    private final RevisionSpread configuration;

    private final SuspectSpread suspects;

    /** Budget of questions for whole tables. */
    private final TokenBucket fullTables;

    /** Rounds so far. */
    private int rounds;

    /**
     * Creates a gossiper.
     *
     * @param members   what is known of nodes
     * @param peers     asks other nodes
     * @param configuration compares revisions
     * @param suspects  spreads suspects
     * @param clock     source of time
     */
    public Gossiper(
            MemberTable members, Peers peers, RevisionSpread configuration, SuspectSpread suspects, Clock clock) {
        this.members = members;
        this.peers = peers;
        this.configuration = configuration;
        this.suspects = suspects;
        this.fullTables = new TokenBucket(clock, FULL_PER_SECOND, FULL_BURST);
    }

    /** Runs one round; now and then it also asks a member that failed, for a partition may have healed. */
    public void tick() {
        members.expire().forEach(Gossiper::log);
        members.nextProbeTarget().ifPresent(this::ask);
        rounds++;
        if (rounds % ROUNDS_PER_FAILED == 0) {
            members.randomFailedMember().ifPresent(this::askFailed);
        }
    }

    /**
     * Tells a few random members at once, so that a change of this node's record need not wait for the next rounds.
     *
     * @param count how many
     * @return completes when they answered, or did not
     */
    public CompletableFuture<Void> tell(int count) {
        List<CompletableFuture<Gossip>> told = members.randomMembers(count, "").stream()
                .map(member -> send(CatalogueSpread.address(member), message()))
                .toList();
        return CompletableFuture.allOf(told.toArray(new CompletableFuture<?>[0]))
                .exceptionally(failure -> null);
    }

    /**
     * Meets a node of which only the address is known.
     *
     * @param address its address for frames
     * @return completes when it answered, or did not
     */
    public CompletableFuture<Void> meet(InetSocketAddress address) {
        return send(address, message().withFull(true)).handle((answer, failure) -> {
            if (failure == null) {
                take(answer);
            }
            return null;
        });
    }

    /**
     * Answers another node.
     *
     * @param question its gossip
     * @return this node's gossip
     */
    public CompletableFuture<Gossip> answer(Gossip question) {
        take(question);
        if (question.getTarget() != null) {
            return reach(question.getTarget());
        }
        Gossip answer = message();
        if (question.isFull()) {
            answer.setMembers(members.randomPage(PAGE));
        }
        return CompletableFuture.completedFuture(answer);
    }

    /**
     * Asks a member.
     *
     * @param member the member
     */
    private void ask(MemberRecord member) {
        Gossip message = message();
        if (MemberState.of(member) != MemberState.ALIVE) {
            message.getMembers().add(member);
        }
        send(CatalogueSpread.address(member), message).whenComplete((answer, failure) -> {
            if (failure != null) {
                askHelpers(member);
                return;
            }
            take(answer);
            if (answer.getDigest() != members.digest() && fullTables.tryTake()) {
                meet(CatalogueSpread.address(member));
            }
        });
    }

    /**
     * Asks a member that failed; if it answers, it has read that it is held to have failed, and refutes.
     *
     * @param member the member
     */
    private void askFailed(MemberRecord member) {
        Gossip message = message();
        message.getMembers().add(member);
        send(CatalogueSpread.address(member), message).thenAccept(this::take);
    }

    /**
     * Asks a few members to reach one that did not answer.
     *
     * @param member the member
     */
    private void askHelpers(MemberRecord member) {
        List<CompletableFuture<Boolean>> tries = members.randomMembers(HELPERS, member.getId()).stream()
                .map(helper -> send(CatalogueSpread.address(helper), message().withTarget(member.getId()))
                        .handle((answer, failure) -> failure == null && answer.getTarget() != null))
                .toList();
        CompletableFuture.allOf(tries.toArray(new CompletableFuture<?>[0])).thenRun(() -> {
            boolean reached = tries.stream().anyMatch(CompletableFuture::join);
            if (!reached) {
                members.suspect(member.getId()).ifPresent(Gossiper::log);
            }
        });
    }

    /**
     * Tries to reach a member on behalf of another.
     *
     * @param id its name
     * @return gossip that names the member if it was reached
     */
    private CompletableFuture<Gossip> reach(String id) {
        Optional<MemberRecord> member = members.find(id);
        if (member.isEmpty()) {
            return CompletableFuture.completedFuture(message());
        }
        return send(CatalogueSpread.address(member.get()), message()).handle((answer, failure) -> {
            if (failure != null) {
                return message();
            }
            take(answer);
            return message().withTarget(id);
        });
    }

    /**
     * Takes over what a message tells.
     *
     * @param message the message
     */
    private void take(Gossip message) {
        members.merge(message.getMembers()).forEach(Gossiper::log);
        members.find(message.getFrom()).ifPresent(peer -> configuration.heard(peer, message.getRevision()));
        suspects.take(message.getSuspects());
    }

    /**
     * Writes a message.
     *
     * @return the message
     */
    private Gossip message() {
        List<MemberRecord> records = new ArrayList<>(members.nextUpdates(UPDATES));
        return new Gossip()
                .withFrom(members.self().getId())
                .withRevision(configuration.revision())
                .withDigest(members.digest())
                .withMembers(records)
                .withSuspects(suspects.some());
    }

    /**
     * Sends a message.
     *
     * @param address address of the node
     * @param message the message
     * @return its answer
     */
    private CompletableFuture<Gossip> send(InetSocketAddress address, Gossip message) {
        return peers.request(address, FrameKind.GOSSIP, message, ASK_MILLIS);
    }

    /**
     * Logs a changed record.
     *
     * @param member the record
     */
    private static void log(MemberRecord member) {
        String detail =
                member.getService() + (member.isServing() ? " serving " : " not serving ") + member.getIncarnation();
        NodeLog.LOG.memberChanged(member.getId(), member.getState().value(), detail);
    }
}
