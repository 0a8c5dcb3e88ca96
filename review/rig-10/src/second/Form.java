package second;

/** What an upstream may do wrong, or in an unusual way, with one answer. */
enum Form {
    PLAIN,
    /** Second answers, by the point at which they appear. */
    EXTRA_NOW,
    EXTRA_SOON,
    EXTRA_LATE,
    EXTRA_NEXT,
    EXTRA_NEXT_LOST,
    EXTRA_NEXT_AFTER,
    EXTRA_PROBE,
    EXTRA_SPLIT,
    EXTRA_CLOSE,
    EXTRA_TWICE,
    /** Bytes that belong to no request. */
    JUNK_AFTER,
    JUNK_INSTEAD,
    JUNK_NOID,
    JUNK_OTHERID,
    /** A part of a head, when the next request is on the connection; the next answer follows it. */
    JUNK_NEXT,
    /** The same as the start of a second answer whose rest never comes. */
    JUNK_NEXT_EXTRA,
    /** The same, cut in the reason phrase of the status line. */
    JUNK_NEXT_LINE,
    /** A complete answer without an id, when the next request is on the connection. */
    JUNK_NEXT_NOID,
    /** Truncated answers. */
    TRUNC_CLOSE,
    TRUNC_RESET,
    TRUNC_HEAD,
    TRUNC_KEEP,
    TRUNC_CHUNK,
    /** The rest of the body is other bytes, later. */
    TRUNC_JUNK,
    /** Only a few bytes of the body are missing when the second answer comes. */
    TRUNC_FEW_KEEP,
    /** The same; the missing bytes come first, the rest of the second answer after a pause. */
    TRUNC_FEW_SPLIT,
    /** Cut in the head; the second answer comes later on the same connection. */
    TRUNC_HEAD_KEEP,
    /** Cut in chunked framing; the second answer comes later. */
    TRUNC_CHUNK_KEEP,
    /** Answers of many megabytes. */
    BIG,
    BIG_CUT,
    BIG_NOLEN_RESET,
    BIG_KEEP,
    /** A sound answer whose body holds the text of an answer. */
    LIKE,
    /** Other statuses, signed. */
    OTHER_STATUS,
    /** The second answer on another connection, when a request is there. */
    EXTRA_ELSEWHERE,
    /** Answers that end with their connection. */
    NOLEN_WHOLE,
    NOLEN_RESET,
    NOLEN_SECOND,
    /** Answered at the head of a long request and reset while its body is still on the way. */
    EARLY_NOLEN_RESET,
    /** Long answers, written slowly. */
    DRIP,
    DRIP_CHUNK,
    DRIP_NOLEN,
    DRIP_NOLEN_RESET,
    DRIP_CUT,
    /** Chunks. */
    CHUNK_PLAIN,
    CHUNK_EXT,
    /** Interim answers; the pages don't name them, HTTP/1.1 has them. */
    INTERIM,
    INTERIM_EXTRA,
    /** An answer before a long body is read. */
    EARLY,
    EARLY_EXTRA,
    CLOSE_HDR,
    LOST,
    LOST_CLOSE,
    LOST_RESET,
    SLOW,
    /** Failures, each also with a second answer. */
    FAIL_500,
    FAIL_503_NOT,
    FAIL_429_NOT,
    FAIL_421,
    FAIL_503_RAN,
    FAIL_503_NOID,
    FAIL_500_EXTRA,
    FAIL_503_NOT_EXTRA,
    FAIL_429_NOT_EXTRA,
    FAIL_421_EXTRA,
    FAIL_500_EXTRA_LATE,
    FAIL_503_NOT_EXTRA_LATE,
    /** 504 at the time limit, alone and followed by a late answer. */
    LIMIT_504,
    LIMIT_504_EXTRA,
    /** An answer after the time limit. */
    LIMIT_LATE,
    LIMIT_LATE_TWICE,
    ENCODED;

    boolean extra() {
        return name().contains("EXTRA") || this == NOLEN_SECOND || name().endsWith("_KEEP") || this == TRUNC_FEW_SPLIT || this == LIMIT_LATE_TWICE;
    }

    boolean limit() {
        return name().startsWith("LIMIT");
    }

    boolean fails() {
        return name().startsWith("FAIL");
    }

    int status() {
        if (limit()) {
            return name().contains("504") ? 504 : 200;
        }
        return fails() ? Integer.parseInt(name().substring(5, 8)) : 200;
    }

    /** The status is a promise that the request hasn't run, and the upstream keeps it. */
    boolean promise() {
        return name().contains("_NOT") || name().contains("421") || this == FAIL_503_NOID;
    }

    /** Needs a long request body. */
    boolean early() {
        return name().startsWith("EARLY");
    }
}
