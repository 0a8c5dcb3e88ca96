package second;

/** One clause of RULES.md, or one reading of it. */
enum Rule {
    NOSIG(true, "MIXED: a success (2xx) without the upstream's X-Server-Signature"),
    FOREIGN_SIG(true, "MIXED: a success (2xx) with a signature that no upstream gave"),
    BODY(true, "MIXED: a success with a body that isn't the upstream's whole body"),
    ENCODED(true, "MIXED: a success with a Content-Encoding (its bytes are not the upstream's body)"),
    EARLY_END(true, "MIXED: an answer that ends early must not look complete (the upstream's was cut)"),
    NOLEN_RESET(true, "MIXED: an answer with no length that was reset on the way looks complete"),
    FAILED(true, "MIXED: a success where the upstream had answered with a failure (same arrival)"),
    OTHER(true, "MIXED: an answer that belongs to another request (by signature)"),
    OTHER_ID(true, "MIXED: an answer that belongs to another request (by X-Attempt-Id)"),
    OTHER_BODY(true, "MIXED: an answer that belongs to another request (unsigned, by its body)"),
    IDLE(true, "MIXED: a success on a connection with no request waiting"),
    BYTES(true, "MIXED: bytes that are no answer in the protocol"),
    STATUS(true, "MIXED: a failure bears an upstream's signature and another status than it gave"),
    SUCCESS_STATUS(true, "MIXED: a success with another 2xx than the upstream gave"),
    REFUSED(true, "REFUSED: not idempotent, answered 429, 503, 408 or 421, and has run"),
    REFUSED_PASSED(true, "REFUSED, as above, but the status is the upstream's own, signed, without X-Not-Executed"),
    TWICE(true, "TWICE: not idempotent, ran more than once"),
    UNASKED_ID(true, "UNASKED: an upstream got a request whose id no client sent"),
    UNASKED_CONTENT(true, "UNASKED: method, path, query or body changed"),
    UNASKED_CALLER(true, "UNASKED: X-Caller-Service isn't the service of the machine of origin"),
    UNASKED_BYTES(true, "UNASKED: bytes that are no request where one is due at an upstream"),
    R_FAILED_ANY(false, "reading: a success, and another arrival of the same id had answered with a failure"),
    R_SECOND(false, "reading: the answer is the second one of its arrival, behind a complete success"),
    R_SECOND_AFTER_BREAK(false, "reading: the answer is the second one of its arrival, behind one that was cut"),
    R_SECOND_FAIL(false, "reading: a signed failure that is the second answer of its arrival"),
    R_WIRE_BODY(false, "reading: the body is what the upstream's framing delimits, with bytes of a second answer in it"),
    R_BYTES_BROKE(false, "reading: bytes that are no answer, and an upstream broke off for this id (excused)"),
    R_IDLE_FAIL(false, "reading: a failure on a connection with no request waiting"),
    R_FAIL_BODY(false, "reading: a signed failure with another body than the upstream gave"),
    R_FAIL_CUT(false, "reading: a signed failure that was cut at the upstream looks complete"),
    R_NOECHO(false, "reading: a success without X-Attempt-Id"),
    R_DUP(false, "reading: X-Server-Signature or X-Attempt-Id more than once"),
    R_REFUSED_IDEM(false, "reading: idempotent, answered 429, 503, 408 or 421, and has run");

    final boolean breaks;
    final String text;

    Rule(boolean breaks, String text) {
        this.breaks = breaks;
        this.text = text;
    }

    /** Readings that every retry fulfils are only counted. */
    boolean shown() {
        return this != R_FAILED_ANY && this != R_REFUSED_IDEM;
    }
}
