package io.mustardusher.claim;

/** A deliberate fault in the claim protocol, which the simulation must notice. */
enum Mutation {
    NONE,
    SKIP_WITNESS,
    SKIP_TIME_CHECK,
    RESEND_AFTER_DISPATCH,
    SKIP_FREEZE,
    IGNORE_AUTHORITY,
    FORGET_ON_RELEASE_WITHOUT_ATTEMPT
}
