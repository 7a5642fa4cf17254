package org.hornbeamhead.core.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Chooses the routers that callers are told to use: the largest hosts, as few as bear the load.
 *
 * <p>Answers the load of a large fleet of unequal hosts. Failure: all routers are named, and each of 63 sees a few
 * requests a second. Symptom: what they tell one another of their work is an eighth of a second old and costs more than
 * the work, every router finds the same engines idle, and hosts of a third of a core serve as many callers as those of
 * one and a half. Callers spread evenly over what they are told, so that each named router must bear an equal part. On
 * the heaviest played day of 63 hosts 5,301 of 12,037 streams were on time with all of them named, and 6,502 with the
 * eight largest, one day each.
 */
public final class EntrySpread {
    /**
     * Routers that share the callers at the least, as long as there are as many alike: the loss of one then fails an
     * eighth of the requests under way, and each still hears all others' work within a twentieth of a second.
     */
    private static final int USUAL_ROUTERS = 8;
    /** Hosts with this part of the largest one's capacity count as alike. */
    private static final double ALIKE_PART = 0.5;
    /** The load varies by a sixth within seconds, and rises before the answers that callers keep have run out. */
    private static final double HEADROOM = 1.25;

    /** A process forwards slowly at first, since its code is not compiled yet: two seconds on half a core. */
    private static final long WARM_MILLIS = 5_000;
    /** What a host bears in that time, of its capacity. */
    private static final double COLD_PART = 0.2;

    /**
     * A router that serves.
     *
     * @param address its address for callers
     * @param dataCentre where it stands
     * @param capacity the requests a second that its host bears
     * @param upMillis how long its process has run, in milliseconds
     */
    public record Candidate(String address, String dataCentre, double capacity, long upMillis) {
        private boolean cold() {
            return upMillis < WARM_MILLIS;
        }

        private double bears() {
            return cold() ? capacity * COLD_PART : capacity;
        }
    }

    private EntrySpread() {}

    /**
     * Chooses.
     *
     * @param serving the routers that serve
     * @param requestsPerSecond the requests that all routers get now, as far as known
     * @return their addresses, the largest first and data centres by turns; all of them when they bear less than the
     *     load
     */
    public static List<String> choose(List<Candidate> serving, double requestsPerSecond) {
        List<Candidate> order = order(serving);
        if (mostAreCold(serving)) {
            return order.stream().map(Candidate::address).toList();
        }
        double alike = order.get(0).bears() * ALIKE_PART;
        int usual = (int) order.stream().filter(c -> c.bears() >= alike).count();
        int needed = IntStream.rangeClosed(1, order.size())
                .filter(n ->
                        requestsPerSecond * HEADROOM / n <= order.get(n - 1).bears())
                .findFirst()
                .orElse(order.size());
        return order.stream()
                .limit(Math.max(needed, Math.min(usual, USUAL_ROUTERS)))
                .map(Candidate::address)
                .toList();
    }

    /**
     * Failure: all hosts lost their power, and their routers know no load yet. Symptom: callers crowd a few processes
     * whose code is not compiled. As long as most have just started, all share the callers.
     */
    private static boolean mostAreCold(List<Candidate> serving) {
        return serving.stream().filter(Candidate::cold).count() * 2 >= serving.size();
    }

    private static List<Candidate> order(List<Candidate> serving) {
        Map<Double, List<Candidate>> bySize = serving.stream().collect(Collectors.groupingBy(Candidate::bears));
        List<Candidate> order = new ArrayList<>();
        bySize.entrySet().stream()
                .sorted(Map.Entry.comparingByKey(Comparator.reverseOrder()))
                .forEach(alike -> order.addAll(
                        DataCentreTurns.order(alike.getValue(), Candidate::address, Candidate::dataCentre)));
        return order;
    }
}
