package io.mustardusher.frame;

import io.mustardusher.generated.CatalogueDelta;
import io.mustardusher.generated.CataloguePull;
import io.mustardusher.generated.ClaimGroupRecord;
import io.mustardusher.generated.ConfirmReply;
import io.mustardusher.generated.ConfirmRequest;
import io.mustardusher.generated.Gossip;
import io.mustardusher.generated.ProbeAnswer;
import io.mustardusher.generated.ProbeQuestion;
import io.mustardusher.generated.RouteDocument;
import io.mustardusher.generated.SuspectRecord;
import io.mustardusher.generated.WitnessReply;
import io.mustardusher.generated.WitnessRequest;

/** Kind of a frame, with the types of its question and of its answer. */
public enum FrameKind {
    /** Gossip; also asks whether the other node answers. */
    GOSSIP(Gossip.class, Gossip.class),

    /** Asks for catalogue entries above a revision. */
    PULL(CataloguePull.class, CatalogueDelta.class),

    /** Brings catalogue entries; answered with the receiver's revision. */
    PUSH(CatalogueDelta.class, CataloguePull.class),

    /** Asks a witness to record or to forget a claim. */
    WITNESS(WitnessRequest.class, WitnessReply.class),

    /** Asks a keeper whether an epoch is the present one, or to be taken into the group. */
    CONFIRM(ConfirmRequest.class, ConfirmReply.class),

    /** Asks for the keepers of a service. */
    GROUP(ProbeQuestion.class, ClaimGroupRecord.class),

    /** Asks a gate for its load. */
    PROBE(ProbeQuestion.class, ProbeAnswer.class),

    /** Brings a suspect; answered with the same. */
    SUSPECT(SuspectRecord.class, SuspectRecord.class),

    /** Question for a newer version of the routes. */
    ROUTES(CataloguePull.class, RouteDocument.class),

    /** A call for the gate of the receiver, and its answer. */
    CALL(CallMessage.class, CallMessage.class),

    /** Question for the answer of a call whose connection broke. */
    RESUME(CallMessage.class, CallMessage.class),

    /** Word that nobody waits for a call any more. */
    CANCEL(CallMessage.class, CallMessage.class);

    /** Type of the question. */
    private final Class<?> question;

    /** Type of the answer. */
    private final Class<?> answer;

    /**
     * Creates a kind.
     *
     * @param question type of the question
     * @param answer   type of the answer
     */
    FrameKind(Class<?> question, Class<?> answer) {
        this.question = question;
        this.answer = answer;
    }

    /**
     * Returns the type of the question.
     *
     * @return the type
     */
    public Class<?> question() {
        return question;
    }

    /**
     * Returns the type of the answer.
     *
     * @return the type
     */
    public Class<?> answer() {
        return answer;
    }
}
