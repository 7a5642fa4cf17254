package org.hornbeamhead.soak.promise;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Disturbed;
import org.hornbeamhead.soak.history.History.Ordered;

/** Promises about the routers that give orders to engines, one after the other. */
final class LeaderChecks {
    /** The least time between the orders of two routers to one engine. */
    private static final long PAUSE_MILLIS = 3_000;
    /** What was held back arrives within this time after its sender or its link goes on. */
    private static final long HELD_BACK_MILLIS = 300;

    private LeaderChecks() {}

    private record Turn(Ordered previous, Ordered next) {
        long gapMillis() {
            return next.at() - previous.at();
        }
    }

    /** The orders of two routers to one engine are a pause apart, unless they were held back on their way. */
    static Stream<Breach> pausesBetweenLeaders(History h) {
        return h.ordered().stream().collect(Collectors.groupingBy(Ordered::replica)).values().stream()
                .flatMap(LeaderChecks::turns)
                .filter(t -> t.gapMillis() < PAUSE_MILLIS)
                .filter(t -> !wasHeldBack(h, t.previous()) && !wasHeldBack(h, t.next()))
                .map(t -> new Breach(
                        "pauses between leaders",
                        t.next() + " " + t.gapMillis() + " ms after " + t.previous(),
                        t.next().at()));
    }

    private static Stream<Turn> turns(List<Ordered> orders) {
        List<Ordered> inOrder =
                orders.stream().sorted(Comparator.comparingLong(Ordered::at)).toList();
        return IntStream.range(1, inOrder.size())
                .mapToObj(i -> new Turn(inOrder.get(i - 1), inOrder.get(i)))
                .filter(t -> !t.previous().holder().equals(t.next().holder()));
    }

    private static boolean wasHeldBack(History h, Ordered order) {
        return h.disturbed().stream()
                .filter(d -> d.subject().equals(order.holder()) || d.subject().equals(order.replica()))
                .anyMatch(d ->
                        order.at() >= d.from() && order.at() <= d.to() - Disturbed.SETTLING_MILLIS + HELD_BACK_MILLIS);
    }
}
