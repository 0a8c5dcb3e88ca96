package io.mustardusher.gossip;

import java.util.Optional;

import io.mustardusher.generated.DepartureRecord;
import io.mustardusher.generated.MemberRecord;
import io.netty.util.NetUtil;

/**
 * Validates member records from other nodes, which may run another version. A record that cannot be used must not reach
 * the member table, from which the addresses of all nodes and servers are taken.
 */
final class MemberRecordValidator {

    private static final int MAX_PORT = 65_535;

    /** Maximum number of slots, as in announcements. */
    private static final long MAX_SLOTS = 100_000;

    /** Maximum of times and counts, which leaves room for sums and conversions of units. */
    private static final long MAX_COUNT = 1L << 53;

    /** Maximum number of departures; a later version may list more of them. */
    private static final int MAX_DEPARTURES = 64;

    private static final int MAX_INSTANCE_CHARS = 1_000;

    private MemberRecordValidator() {}

    /**
     * Finds the fault of a record.
     *
     * @param member the record
     * @return the fault, or empty if the record is valid
     */
    static Optional<String> findFault(MemberRecord member) {
        if (member.getId() == null || member.getId().isEmpty()) {
            return Optional.of("no id");
        }
        if (member.getState() == null) {
            return Optional.of("unknown state");
        }
        if (member.getRegion() == null || member.getDomain() == null) {
            return Optional.of("no failure domain");
        }
        // Looking up a name would block the event loop.
        if (member.getHost() == null || NetUtil.createByteArrayFromIpAddressString(member.getHost()) == null) {
            return Optional.of("host is no IP address");
        }
        if (!isPort(member.getGatePort()) || !isPort(member.getFramePort())) {
            return Optional.of("port out of range");
        }
        if (!isWithin(MAX_SLOTS, member.getSlots())) {
            return Optional.of("slots out of range");
        }
        boolean counts = isWithin(MAX_COUNT, member.getBoot())
                && isWithin(MAX_COUNT, member.getIncarnation())
                && isWithin(MAX_COUNT, member.getSince());
        if (!counts) {
            return Optional.of("time or incarnation out of range");
        }
        boolean departures = member.getDepartures().size() <= MAX_DEPARTURES
                && member.getDepartures().stream().allMatch(MemberRecordValidator::isValid);
        return departures ? Optional.empty() : Optional.of("invalid departures");
    }

    /**
     * Returns whether a departure can be stored and compared with others.
     *
     * @param departure the departure
     * @return {@code true} if it names a server and its times are in range
     */
    static boolean isValid(DepartureRecord departure) {
        return departure.getInstance() != null
                && departure.getInstance().length() <= MAX_INSTANCE_CHARS
                && isWithin(MAX_COUNT, departure.getStart())
                && isWithin(MAX_COUNT, departure.getTime());
    }

    private static boolean isPort(long port) {
        return port > 0 && port <= MAX_PORT;
    }

    private static boolean isWithin(long max, long value) {
        return value >= 0 && value <= max;
    }
}
