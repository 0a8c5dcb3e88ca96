package io.mustardusher.frame;

import io.mustardusher.generated.AllowanceReply;
import io.mustardusher.generated.AllowanceRequest;
import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.CataloguePull;
import io.mustardusher.generated.ClaimGroupRecord;
import io.mustardusher.generated.ConfirmReply;
import io.mustardusher.generated.ConfirmRequest;
import io.mustardusher.generated.FreshnessRecord;
import io.mustardusher.generated.Gossip;
import io.mustardusher.generated.Ping;
import io.mustardusher.generated.ProbeAnswer;
import io.mustardusher.generated.ProbeQuestion;
import io.mustardusher.generated.RouteDocument;
import io.mustardusher.generated.SuspectRecord;
import io.mustardusher.generated.WitnessReply;
import io.mustardusher.generated.WitnessRequest;

/** Kind of a frame, with the types of its request and its reply. Frames hold the ordinal of their kind. */
public enum FrameKind {
    /** Exchanges gossip; the reply also shows that the other node is alive. */
    GOSSIP(Gossip.class, Gossip.class),

    /** Requests the catalogue entries above a revision. */
    PULL(CataloguePull.class, CatalogueDelta.class),

    /** Sends catalogue entries; the reply holds the revision of the receiver. */
    PUSH(CatalogueDelta.class, CataloguePull.class),

    /** Requests a witness to record or to remove a claim. */
    WITNESS(WitnessRequest.class, WitnessReply.class),

    /** Requests a keeper to confirm that an epoch is current, or to add the sender to its group. */
    CONFIRM(ConfirmRequest.class, ConfirmReply.class),

    /** Requests the keepers of a service. */
    GROUP(ProbeQuestion.class, ClaimGroupRecord.class),

    /** Requests the load of a gate. */
    PROBE(ProbeQuestion.class, ProbeAnswer.class),

    /** Sends a suspect call; the reply holds the same suspect. */
    SUSPECT(SuspectRecord.class, SuspectRecord.class),

    /** Requests a newer version of the routes. */
    ROUTES(CataloguePull.class, RouteDocument.class),

    /** Sends a call to the gate of the receiver; the reply holds its answer. */
    CALL(CallMessage.class, CallMessage.class),

    /** Requests the answer of a call whose connection was lost. */
    RESUME(CallMessage.class, CallMessage.class),

    /** Cancels a call; the reply holds the same message. */
    CANCEL(CallMessage.class, CallMessage.class),

    /** Shows that a connection carries bytes; the reply holds the same message. */
    PING(Ping.class, Ping.class),

    /** Requests the age of the routes of the receiver; the request holds that of the sender. */
    FRESHNESS(FreshnessRecord.class, FreshnessRecord.class),

    /** Requests a part of a large response; the reply holds the part, or no body if the response is not kept. */
    PART(CallMessage.class, CallMessage.class),

    /** Delegates a share of the limits of accounts, and requests tokens for their calls. */
    ALLOWANCE(AllowanceRequest.class, AllowanceReply.class);

    private final MessageCodec requestCodec;

    private final MessageCodec replyCodec;

    FrameKind(Class<?> requestType, Class<?> replyType) {
        this.requestCodec = MessageCodec.of(requestType);
        this.replyCodec = MessageCodec.of(replyType);
    }

    /**
     * Returns the codec of the messages of this kind.
     *
     * @param reply {@code true} for replies
     * @return the codec
     */
    MessageCodec codec(boolean reply) {
        return reply ? replyCodec : requestCodec;
    }
}
