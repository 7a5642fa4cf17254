package org.hornbeamhead.soak.promise;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Arrived;
import org.hornbeamhead.soak.history.History.Asked;
import org.hornbeamhead.soak.history.History.Limited;

/** The promise about the request limits that replicas state. */
final class LimitChecks {
    private static final long WINDOW_MILLIS = 4_000;
    /** All routers know a limit this long after it was first stated; what was sent before cannot be taken back. */
    private static final long NOTICE_MILLIS = 500;
    /** A router that was disturbed may not know the limit, or what others sent, for this long. */
    private static final long SETTLE_MILLIS = 3_000;

    private static final double FACTOR = 1.5;
    private static final int SLACK = 5;

    private LimitChecks() {}

    /** A replica gets no more than half as much again as its limit, and a few, from all calm routers together. */
    static Stream<Breach> requestLimits(History h) {
        Map<String, String> routers =
                h.asked().stream().collect(Collectors.toMap(Asked::id, Asked::router, (a, b) -> a));
        return h.limited().stream().flatMap(l -> exceeded(h, routers, l));
    }

    private static Stream<Breach> exceeded(History h, Map<String, String> routers, Limited limited) {
        List<Arrived> arrivals = h.arrived().stream()
                .filter(a -> a.replica().equals(limited.replica()))
                .sorted(Comparator.comparingLong(Arrived::at))
                .toList();
        long known = NOTICE_MILLIS
                + arrivals.stream()
                        .mapToLong(Arrived::at)
                        .filter(at -> at >= limited.from())
                        .min()
                        .orElse(Long.MAX_VALUE / 2);
        double allowed = FACTOR * limited.perSecond() * WINDOW_MILLIS / 1_000 + SLACK;
        return arrivals.stream()
                .map(Arrived::at)
                .filter(end -> end >= known && end <= limited.to())
                .filter(end ->
                        within(arrivals, Math.max(known, end - WINDOW_MILLIS), end, isCalm(h, routers, end)) > allowed)
                .limit(1)
                .map(end -> new Breach(
                        "request limits",
                        limited.replica() + " got more than " + allowed + " requests in " + WINDOW_MILLIS + " ms",
                        end));
    }

    private static Predicate<Arrived> isCalm(History h, Map<String, String> routers, long end) {
        return a -> routers.containsKey(a.id())
                && h.undisturbed(routers.get(a.id()), end - WINDOW_MILLIS - SETTLE_MILLIS, end);
    }

    private static long within(List<Arrived> arrivals, long from, long end, Predicate<Arrived> counts) {
        return arrivals.stream()
                .filter(a -> a.at() <= end && a.at() > from)
                .filter(counts)
                .count();
    }
}
