package io.mustardusher.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.mustardusher.generated.DepartureRecord;

/**
 * Lists of departures in member records: processes of backend servers that stated that they were leaving. Lists are
 * merged by their union, so that all nodes hold the same one whatever the order in which they receive records.
 */
public final class Departures {

    /**
     * Maximum number of departures of a list, so that records stay small. Older ones need not be known: announcements
     * arrive seconds late at most.
     */
    public static final int MAX_LISTED = 4;

    private static final Comparator<DepartureRecord> BY_TIME = Comparator.comparingLong(DepartureRecord::getTime)
            .thenComparing(DepartureRecord::getInstance)
            .thenComparingLong(DepartureRecord::getStart);

    private Departures() {}

    /**
     * Returns the latest departures of two lists.
     *
     * @param first  a list
     * @param second another list
     * @return their union, the latest departure last
     */
    static List<DepartureRecord> union(Collection<DepartureRecord> first, Collection<DepartureRecord> second) {
        Map<Process, DepartureRecord> earliest = new LinkedHashMap<>();
        Stream.concat(first.stream(), second.stream())
                .sorted(BY_TIME)
                .forEach(departure -> earliest.putIfAbsent(Process.of(departure), departure));
        List<DepartureRecord> all = List.copyOf(earliest.values());
        return all.subList(Math.max(0, all.size() - MAX_LISTED), all.size());
    }

    /**
     * A process of a backend server.
     *
     * @param instance    name of the server
     * @param startMillis start time of the process, in milliseconds since the Unix epoch; 0 if it is unknown
     */
    private record Process(String instance, long startMillis) {

        static Process of(DepartureRecord departure) {
            return new Process(departure.getInstance(), departure.getStart());
        }
    }
}
