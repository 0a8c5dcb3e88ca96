package io.mustardusher.gossip;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.mustardusher.budget.TokenBucket;
import io.mustardusher.evacuation.EvacuationOrders;
import io.mustardusher.evacuation.EvacuationReplica;
import io.mustardusher.frame.FrameKind;
import io.mustardusher.frame.Peers;
import io.mustardusher.generated.DepartureRecord;
import io.mustardusher.generated.EvacuationRecord;
import io.mustardusher.generated.Gossip;
import io.mustardusher.generated.MemberRecord;
import io.mustardusher.log.NodeLog;
import io.mustardusher.membership.GossipRange;
import io.mustardusher.membership.MemberState;
import io.mustardusher.membership.MemberTable;
import io.mustardusher.time.Clock;

/**
 * Gossip protocol of the cluster, following SWIM: each round probes one member and exchanges a bounded number of member
 * records with it. A member that responds neither to this node nor to indirect probes by a few others is marked as
 * suspected.
 */
public final class Gossiper {

    /** Maximum number of member records in a message within the failure domain. */
    private static final int MAX_LOCAL_UPDATES = 25;

    /** Maximum number of member records in a message to another failure domain. */
    private static final int MAX_REMOTE_UPDATES = 10;

    /** Maximum number of additional records in the answer to a request for the full member table. */
    private static final int MAX_FULL_RECORDS = 400;

    /** Number of members asked to probe a member that did not respond. */
    private static final int INDIRECT_PROBES = 3;

    /** Timeout of a request to another node, in milliseconds. */
    private static final long REQUEST_TIMEOUT_MILLIS = 500;

    /** Average number of full member tables that may be requested within the failure domain per second. */
    private static final double FULL_REQUESTS_PER_SECOND = 0.25;

    /** Number of full member tables that may be requested within the failure domain in a burst. */
    private static final double FULL_REQUEST_BURST = 10;

    /**
     * Average number of full member tables that may be requested from other failure domains per second. The members of
     * a domain pass on what they receive, so together they need only a few.
     */
    private static final double REMOTE_FULL_REQUESTS_PER_SECOND = 0.05;

    /** Share of the members to notify of a change that belong to this failure domain. */
    private static final double LOCAL_SHARE_OF_NOTIFIED = 0.75;

    /** Number of rounds between two probes of failed members. */
    private static final int ROUNDS_PER_FAILED_PROBE = 5;

    private final MemberTable members;

    private final Peers peers;

    /** Configuration whose revision is part of each message. */
    private final ReplicatedConfiguration configuration;

    private final SuspectReplicator suspects;

    private final EvacuationReplica evacuation = new EvacuationReplica();

    /** Receives the departures in the record of this node when this node learns one. */
    private volatile Consumer<List<DepartureRecord>> departureListener = departures -> {};

    /** Rate limit for requests of full member tables within the failure domain. */
    private final TokenBucket fullRequests;

    /** Rate limit for requests of full member tables from other failure domains. */
    private final TokenBucket remoteFullRequests;

    /** Number of rounds so far. */
    private int rounds;

    /**
     * Creates a gossiper.
     *
     * @param members       the cluster membership
     * @param peers         sends requests to other nodes
     * @param configuration configuration whose revision is part of each message
     * @param suspects      replicates suspects
     * @param clock         source of time
     */
    public Gossiper(
            MemberTable members,
            Peers peers,
            ReplicatedConfiguration configuration,
            SuspectReplicator suspects,
            Clock clock) {
        this.members = members;
        this.peers = peers;
        this.configuration = configuration;
        this.suspects = suspects;
        this.fullRequests = new TokenBucket(clock, FULL_REQUESTS_PER_SECOND, FULL_REQUEST_BURST);
        this.remoteFullRequests = new TokenBucket(clock, REMOTE_FULL_REQUESTS_PER_SECOND, 1);
    }

    /**
     * Returns this node's copy of the evacuation orders, which messages carry once there was an order.
     *
     * @return the replica
     */
    public EvacuationReplica evacuation() {
        return evacuation;
    }

    /**
     * Sets the listener for departures of the backend server beside this node that were stored by an earlier process.
     *
     * @param listener receives all departures in the record of this node
     */
    public void onDeparturesLearned(Consumer<List<DepartureRecord>> listener) {
        departureListener = listener;
    }

    /**
     * Adds departures of the backend server beside this node to its record.
     *
     * @param departures departures that an earlier process of this node has stored
     */
    void learnDepartures(Collection<DepartureRecord> departures) {
        if (members.addDepartures(departures)) {
            departureListener.accept(members.self().getDepartures());
        }
    }

    /** Runs one round. Every few rounds it also probes a failed member, because a network partition may have healed. */
    public void tick() {
        members.expire().forEach(Gossiper::logChange);
        members.nextProbeTarget().ifPresent(this::probe);
        rounds++;
        if (rounds % ROUNDS_PER_FAILED_PROBE == 0) {
            members.randomFailedMember().ifPresent(this::probeFailed);
        }
    }

    /**
     * Sends a message to a few random members immediately, so that a change of this node's record does not wait for the
     * next rounds.
     *
     * @param count maximum number of members
     * @return completes when all of them have responded or failed
     */
    public CompletableFuture<Void> sendToRandomMembers(int count) {
        List<CompletableFuture<Boolean>> replies = randomReceivers(count).stream()
                .map(member -> send(CatalogueReplica.frameAddress(member), createMessage(members.rangeTo(member)))
                        .handle((answer, failure) -> failure == null))
                .toList();
        return CompletableFuture.allOf(replies.toArray(new CompletableFuture<?>[0]));
    }

    /**
     * Sends the record of this node to a few random members immediately.
     *
     * @param count maximum number of members
     * @return completes with {@code true} as soon as a member has responded, and with {@code false} if none did
     */
    public CompletableFuture<Boolean> replicateSelf(int count) {
        CompletableFuture<Boolean> replicated = new CompletableFuture<>();
        CompletableFuture<Boolean> anyAnswered = CompletableFuture.completedFuture(false);
        for (MemberRecord member : randomReceivers(count)) {
            CompletableFuture<Boolean> answered =
                    announceTo(CatalogueReplica.frameAddress(member)).exceptionally(failure -> false);
            answered.thenAccept(success -> {
                if (success) {
                    replicated.complete(true);
                }
            });
            anyAnswered = anyAnswered.thenCombine(answered, Boolean::logicalOr);
        }
        anyAnswered.thenAccept(replicated::complete);
        return replicated;
    }

    private List<MemberRecord> randomReceivers(int count) {
        int local = (int) Math.ceil(count * LOCAL_SHARE_OF_NOTIFIED);
        List<MemberRecord> receivers = new ArrayList<>(members.randomMembers(local, GossipRange.DOMAIN));
        receivers.addAll(members.randomMembers(count - receivers.size(), GossipRange.OTHER_DOMAINS));
        return receivers;
    }

    /**
     * Requests the full member table of a node and merges the answer.
     *
     * @param address address at which the node accepts frames
     * @return completes with whether the node has responded
     */
    public CompletableFuture<Boolean> requestFullTable(InetSocketAddress address) {
        return exchange(address, withSelf(createMessage(GossipRange.DOMAIN)).withFull(true));
    }

    /**
     * Announces this node to a node that may not know it, and merges its answer.
     *
     * @param address address at which the node accepts frames
     * @return completes with whether the node has responded
     */
    public CompletableFuture<Boolean> announceTo(InetSocketAddress address) {
        return exchange(address, withSelf(createMessage(GossipRange.OTHER_DOMAINS)));
    }

    // Attempts to reach nodes that do not listen yet use up the transmissions after which the record of this node is
    // no longer part of messages.
    private Gossip withSelf(Gossip message) {
        if (!message.getMembers().contains(members.self())) {
            message.getMembers().add(members.self());
        }
        return message;
    }

    private CompletableFuture<Boolean> exchange(InetSocketAddress address, Gossip message) {
        return send(address, message).handle((answer, failure) -> {
            if (failure == null) {
                apply(answer);
            }
            return failure == null;
        });
    }

    /**
     * Processes a message of another node.
     *
     * @param request the message
     * @return this node's message; if the other node requested an indirect probe, names the target if it was reached
     */
    public CompletableFuture<Gossip> answer(Gossip request) {
        apply(request);
        if (request.getTarget() != null) {
            return probeOnBehalf(request.getTarget());
        }
        GossipRange range =
                members.find(request.getFrom()).map(members::rangeTo).orElse(GossipRange.OTHER_DOMAINS);
        Gossip answer = createMessage(range, request.getMembers());
        if (request.isFull()) {
            answer.setMembers(new ArrayList<>(members.randomPage(MAX_FULL_RECORDS)));
        }
        addDeparturesOfSender(request, answer);
        return CompletableFuture.completedFuture(answer);
    }

    // A sender that has restarted does not know them. It has to before it believes a late announcement, and the
    // updates that happen to be due may not contain its record.
    private void addDeparturesOfSender(Gossip request, Gossip answer) {
        Optional<MemberRecord> known = members.find(request.getFrom())
                .filter(record -> !record.getDepartures().isEmpty());
        boolean unknownToSender = known.isPresent()
                && request.getMembers().stream()
                        .filter(record -> record.getId().equals(request.getFrom()))
                        .anyMatch(record ->
                                !record.getDepartures().equals(known.get().getDepartures()));
        if (unknownToSender && !answer.getMembers().contains(known.get())) {
            answer.getMembers().add(known.get());
        }
    }

    /**
     * Probes a member.
     *
     * @param member the member
     */
    private void probe(MemberRecord member) {
        GossipRange range = members.rangeTo(member);
        Gossip message = createMessage(range);
        if (MemberState.of(member) != MemberState.ALIVE) {
            message.getMembers().add(member);
        }
        send(CatalogueReplica.frameAddress(member), message).whenComplete((answer, failure) -> {
            if (failure != null) {
                probeIndirectly(member);
                return;
            }
            apply(answer);
            TokenBucket budget = range == GossipRange.DOMAIN ? fullRequests : remoteFullRequests;
            if (answer.getDigest() != members.digest() && budget.tryTake()) {
                requestFullTable(CatalogueReplica.frameAddress(member));
            }
        });
    }

    /**
     * Probes a failed member. The message contains the record that reports it as failed, so that the member refutes it
     * if it is alive.
     *
     * @param member the member
     */
    private void probeFailed(MemberRecord member) {
        Gossip message = createMessage(members.rangeTo(member));
        message.getMembers().add(member);
        send(CatalogueReplica.frameAddress(member), message).thenAccept(this::apply);
    }

    /**
     * Asks a few members to probe a member that did not respond, and marks it as suspected if none of them reached it.
     *
     * @param member the member
     */
    private void probeIndirectly(MemberRecord member) {
        List<CompletableFuture<Boolean>> probes = members.randomMembers(INDIRECT_PROBES, member.getId()).stream()
                .map(helper -> send(
                                CatalogueReplica.frameAddress(helper),
                                createMessage(members.rangeTo(helper)).withTarget(member.getId()))
                        .handle((answer, failure) -> failure == null && answer.getTarget() != null))
                .toList();
        CompletableFuture.allOf(probes.toArray(new CompletableFuture<?>[0])).thenRun(() -> {
            boolean reached = probes.stream().anyMatch(CompletableFuture::join);
            if (!reached) {
                members.suspect(member.getId()).ifPresent(Gossiper::logChange);
            }
        });
    }

    /**
     * Probes a member on behalf of another node.
     *
     * @param id id of the member
     * @return a message that names the member as its target if the member was reached
     */
    private CompletableFuture<Gossip> probeOnBehalf(String id) {
        Optional<MemberRecord> member = members.find(id);
        if (member.isEmpty()) {
            return CompletableFuture.completedFuture(createMessage(GossipRange.OTHER_DOMAINS));
        }
        GossipRange range = members.rangeTo(member.get());
        return send(CatalogueReplica.frameAddress(member.get()), createMessage(range))
                .handle((answer, failure) -> {
                    if (failure != null) {
                        return createMessage(range);
                    }
                    apply(answer);
                    return createMessage(range).withTarget(id);
                });
    }

    /**
     * Applies the contents of a received message: merges the valid member records and the suspects, and passes on the
     * sender's revision.
     *
     * @param message the message
     */
    private void apply(Gossip message) {
        List<MemberRecord> valid =
                message.getMembers().stream().filter(Gossiper::isValid).toList();
        List<DepartureRecord> departures = members.self().getDepartures();
        members.merge(valid).forEach(Gossiper::logChange);
        if (!members.self().getDepartures().equals(departures)) {
            departureListener.accept(members.self().getDepartures());
        }
        members.find(message.getFrom()).ifPresent(peer -> configuration.onPeerRevision(peer, message.getRevision()));
        suspects.addAll(message.getSuspects());
        EvacuationRecord received = message.getEvacuation();
        if (received != null) {
            evacuation.receive(EvacuationOrders.of(
                    new EvacuationOrders.Revision(received.getGeneration(), received.getVersion()),
                    received.getDomains()));
        }
    }

    private static boolean isValid(MemberRecord member) {
        Optional<String> fault = MemberRecordValidator.findFault(member);
        fault.ifPresent(cause -> NodeLog.LOG.memberRejected(member.getId(), cause));
        return fault.isEmpty();
    }

    private Gossip createMessage(GossipRange range) {
        return createMessage(range, List.of());
    }

    /**
     * Creates a message with this node's pending updates.
     *
     * @param range  where the message goes
     * @param except records that the receiver has just sent itself
     * @return the message
     */
    private Gossip createMessage(GossipRange range, List<MemberRecord> except) {
        int max = range == GossipRange.DOMAIN ? MAX_LOCAL_UPDATES : MAX_REMOTE_UPDATES;
        List<MemberRecord> records = new ArrayList<>(members.nextUpdates(max, range, except));
        return new Gossip()
                .withFrom(members.self().getId())
                .withRevision(configuration.revision())
                .withDigest(members.digest())
                .withMembers(records)
                .withSuspects(suspects.gossipRecords())
                .withEvacuation(evacuation.toSend().map(Gossiper::toRecord).orElse(null));
    }

    private static EvacuationRecord toRecord(EvacuationOrders orders) {
        return new EvacuationRecord()
                .withGeneration(orders.revision().generation())
                .withVersion(orders.revision().version())
                .withDomains(List.copyOf(orders.domains()));
    }

    /**
     * Sends a message.
     *
     * @param address address at which the receiver accepts frames
     * @param message the message
     * @return its answer
     */
    private CompletableFuture<Gossip> send(InetSocketAddress address, Gossip message) {
        return peers.request(address, FrameKind.GOSSIP, message, REQUEST_TIMEOUT_MILLIS);
    }

    /**
     * Logs a changed record.
     *
     * @param member the record
     */
    private static void logChange(MemberRecord member) {
        String detail =
                member.getService() + (member.isServing() ? " serving " : " not serving ") + member.getIncarnation();
        NodeLog.LOG.memberChanged(member.getId(), member.getState().value(), detail);
    }
}
