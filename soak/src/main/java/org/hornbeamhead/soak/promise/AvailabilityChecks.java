package org.hornbeamhead.soak.promise;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Answered;
import org.hornbeamhead.soak.history.History.Arrived;
import org.hornbeamhead.soak.history.History.Asked;
import org.hornbeamhead.soak.history.History.Paused;

/** The promises about replicas that announce in their answers that they take no requests. */
final class AvailabilityChecks {
    /** What a caller sent later than this after the router passed the announcement on may not reach the replica. */
    private static final long LEAVING_MILLIS = 2_000;
    /** What was under way when the replica asked for a pause may still arrive for this long. */
    private static final long UNDER_WAY_MILLIS = 500;

    private static final int ALLOWED_IN_PAUSE = 2;
    /** A request that a harmed link held up counts as sent earlier. */
    private static final long HELD_UP_MILLIS = 3_000;

    private static final Set<String> FREEZES = Set.of("ROUTER_FROZEN");
    private static final Set<String> LINK_FAULTS =
            Set.of("REPLICA_DELAYED", "REPLICA_RESET", "REPLICA_SILENT", "REPLICA_FROZEN");

    private AvailabilityChecks() {}

    /** One process of a router, and a replica that it sends to. */
    private record Sender(String replica, String router, int process) {
        static Sender of(String replica, Asked asked) {
            return new Sender(replica, asked.router(), asked.process());
        }
    }

    /** A replica whose leave a router has passed on to a caller gets nothing from it that is sent much later. */
    static Stream<Breach> announcedLeaves(History h) {
        Map<String, Asked> asked = askedById(h);
        Map<String, Answered> answered = h.answered().stream()
                .filter(a -> a.status() == 200 && a.whole())
                .collect(Collectors.toMap(Answered::id, a -> a, (a, b) -> a));
        Map<Sender, Long> passedOn = h.announced().stream()
                .filter(a -> asked.containsKey(a.request()) && answered.containsKey(a.request()))
                .collect(Collectors.toMap(
                        a -> Sender.of(a.replica(), asked.get(a.request())),
                        a -> answered.get(a.request()).at(),
                        Math::min));
        return h.arrived().stream()
                .filter(a -> asked.containsKey(a.id()))
                .filter(a -> isTooLate(h, asked.get(a.id()), a, passedOn))
                .map(a -> new Breach("announced leaves", a.replica() + " leaves and got " + a.id(), a.at()));
    }

    private static boolean isTooLate(History h, Asked asked, Arrived arrived, Map<Sender, Long> passedOn) {
        Long since = passedOn.get(Sender.of(arrived.replica(), asked));
        return since != null
                && asked.at() > since + LEAVING_MILLIS
                && !isDisturbed(h, asked.router(), FREEZES, since, arrived.at())
                && !isDisturbed(h, arrived.replica(), LINK_FAULTS, arrived.at() - HELD_UP_MILLIS, arrived.at());
    }

    /** A replica that asked a router for a pause gets two requests from it at most until the pause is over. */
    static Stream<Breach> pauses(History h) {
        Map<String, Asked> asked = askedById(h);
        Map<Sender, List<Arrived>> arrivals = h.arrived().stream()
                .filter(a -> asked.containsKey(a.id()))
                .collect(Collectors.groupingBy(a -> Sender.of(a.replica(), asked.get(a.id()))));
        return h.paused().stream()
                .filter(p -> asked.containsKey(p.request()))
                .filter(p -> isDisregarded(
                        h, p, arrivals.get(Sender.of(p.replica(), asked.get(p.request()))), asked.get(p.request())))
                .map(p -> new Breach(
                        "pauses", p.replica() + " asked for " + p.millis() + " ms at " + p.request(), p.at()));
    }

    private static boolean isDisregarded(History h, Paused p, List<Arrived> arrivals, Asked asked) {
        long end = p.at() + p.millis();
        long within = arrivals.stream()
                .filter(a -> a.at() > p.at() + UNDER_WAY_MILLIS && a.at() < end)
                .count();
        return within > ALLOWED_IN_PAUSE
                && h.undisturbed(asked.router(), p.at(), end)
                && !isDisturbed(h, p.replica(), LINK_FAULTS, p.at() - HELD_UP_MILLIS, end);
    }

    private static Map<String, Asked> askedById(History h) {
        return h.asked().stream().collect(Collectors.toMap(Asked::id, a -> a, (a, b) -> a));
    }

    private static boolean isDisturbed(History h, String subject, Set<String> kinds, long from, long to) {
        return h.disturbed().stream()
                .filter(d -> d.subject().equals(subject) && kinds.contains(d.kind()))
                .anyMatch(d -> d.from() <= to && d.to() >= from);
    }
}
