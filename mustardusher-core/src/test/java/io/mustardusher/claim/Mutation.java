package io.mustardusher.claim;

/** A deliberate defect in the claim protocol that the simulation must detect. */
enum Mutation {
    NONE,

    /** The home dispatches a call without asking the witness. */
    SKIP_WITNESS,

    /** The home dispatches a call even if neither keeper has covered its key since before the key's creation. */
    SKIP_COVERAGE_CHECK,

    /** The home dispatches a call again after its connection was lost. */
    RESEND_AFTER_DISPATCH,

    /** A keeper continues to grant claims and confirm its epoch while it writes a new one. */
    SKIP_SUSPENSION,

    /** A keeper renews its lease without confirmations of the other keepers. */
    IGNORE_LEASE,

    /** A release makes the witness remove its claim whatever the attempt of that claim. */
    RELEASE_ANY_ATTEMPT
}
