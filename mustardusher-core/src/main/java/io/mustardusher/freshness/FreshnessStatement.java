package io.mustardusher.freshness;

import java.util.OptionalLong;

/**
 * What a member states about its configuration.
 *
 * @param version  version in force at the member
 * @param ageNanos time since a moment at which no newer version existed, in nanoseconds, as of the statement; empty if
 *                 the member knows no such moment
 */
public record FreshnessStatement(long version, OptionalLong ageNanos) {}
