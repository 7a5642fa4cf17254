package org.hornbeamhead.soak.promise;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Acknowledged;
import org.hornbeamhead.soak.history.History.Arrived;
import org.hornbeamhead.soak.history.History.Asked;
import org.hornbeamhead.soak.history.History.Change;
import org.hornbeamhead.soak.history.History.Ordered;
import org.hornbeamhead.soak.history.RequestKind;

/** Promises about keys, configurations, leaving replicas, weights and orders. */
final class StateChecks {
    /** A key that no configuration ever held. */
    static final String FORGED_KEY = "forged";
    /** In force within two seconds; the rest is for processes that share one machine with the run. */
    private static final long IN_FORCE_MILLIS = 5_000;
    /** A router counts as undisturbed after this time. */
    private static final long SETTLE_MILLIS = 5_000;
    /** Requests that were under way together may arrive in any order. */
    private static final long TOGETHER_MILLIS = 250;

    private StateChecks() {}

    /** A key that never was, or that has been gone for longer than its bound, runs nothing. */
    static Stream<Breach> keys(History h) {
        Map<String, Long> goneAt = h.acknowledged().stream()
                .filter(a -> a.change() == Change.KEY_GONE)
                .collect(Collectors.toMap(Acknowledged::subject, Acknowledged::at, Math::min));
        return ran(h).filter(r -> isWrong(h, r, goneAt))
                .map(r -> new Breach("keys", "ran " + r, r.arrived().at()));
    }

    private static boolean isWrong(History h, Ran r, Map<String, Long> goneAt) {
        Long gone = goneAt.get(r.asked().key());
        return r.asked().key().equals(FORGED_KEY) || (gone != null && wasInForce(h, r.asked(), gone));
    }

    private static boolean wasInForce(History h, Asked a, long since) {
        return a.at() > since + IN_FORCE_MILLIS && h.calm(a.router(), since, a.at(), SETTLE_MILLIS);
    }

    /** A route leads where the newest configuration says, once that must be in force. */
    static Stream<Breach> configuration(History h) {
        List<Acknowledged> moves = moves(h);
        return ran(h).filter(r -> r.asked().kind() == RequestKind.MOVED)
                .filter(r -> moves.stream()
                        .filter(m -> place(moves, m.subject()) > place(moves, r.service()))
                        .anyMatch(m -> wasInForce(h, r.asked(), m.at())))
                .map(r -> new Breach(
                        "configuration",
                        "ran at an old service: " + r,
                        r.arrived().at()));
    }

    /** One process never goes back to an older configuration. */
    static Stream<Breach> neverBack(History h) {
        List<Acknowledged> moves = moves(h);
        Map<String, List<Ran>> byProcess = ran(h).filter(r -> r.asked().kind() == RequestKind.MOVED)
                .collect(Collectors.groupingBy(
                        r -> r.asked().router() + "/" + r.asked().process()));
        return byProcess.values().stream().flatMap(runs -> runs.stream()
                .filter(r -> runs.stream()
                        .anyMatch(before -> place(moves, before.service()) > place(moves, r.service())
                                && before.arrived().at() + TOGETHER_MILLIS
                                        < r.asked().at()))
                .map(r -> new Breach(
                        "never back", "older than before: " + r, r.arrived().at())));
    }

    private static List<Acknowledged> moves(History h) {
        return h.acknowledged().stream()
                .filter(a -> a.change() == Change.ROUTE_MOVED)
                .sorted(Comparator.comparingLong(Acknowledged::at))
                .toList();
    }

    /** The place of a service among those that the route led to, 0 for the first. */
    private static int place(List<Acknowledged> moves, String service) {
        return moves.stream().map(Acknowledged::subject).toList().indexOf(service) + 1;
    }

    /** Nothing new goes to a replica that leaves. */
    static Stream<Breach> leavingReplicas(History h) {
        Map<String, Long> leaving = h.acknowledged().stream()
                .filter(a -> a.change() == Change.LEAVING)
                .collect(Collectors.toMap(Acknowledged::subject, Acknowledged::at, Math::min));
        return ran(h).filter(r -> leaving.containsKey(r.arrived().replica()))
                .filter(r -> wasInForce(h, r.asked(), leaving.get(r.arrived().replica())))
                .map(r -> new Breach(
                        "leaving replicas",
                        "got something new: " + r,
                        r.arrived().at()));
    }

    /** One fencing number has one holder, and an engine sees numbers rise. */
    static Stream<Breach> oneHolder(History h) {
        Map<Long, Set<String>> holders = h.ordered().stream()
                .collect(
                        Collectors.groupingBy(Ordered::fence, Collectors.mapping(Ordered::holder, Collectors.toSet())));
        Stream<Breach> shared = holders.entrySet().stream()
                .filter(e -> e.getValue().size() > 1)
                .map(e -> new Breach("one holder", "number " + e.getKey() + " of " + e.getValue(), 0));
        return Stream.concat(shared, falling(h));
    }

    private static Stream<Breach> falling(History h) {
        Map<String, Long> highest = new HashMap<>();
        return h.ordered().stream()
                .filter(Ordered::accepted)
                .sorted(Comparator.comparingLong(Ordered::at))
                .filter(o -> highest.merge(o.replica(), o.fence(), Math::max) > o.fence())
                .toList()
                .stream()
                .map(o -> new Breach("one holder", "a lower number after a higher one: " + o, o.at()));
    }

    /** What one text separates belongs to one version of the weights, and to one isolated customer or to none. */
    static Stream<Breach> isolation(History h, Set<String> isolated) {
        record Owner(long weights, String customer) {}
        Map<String, Set<Owner>> owners = h.arrived().stream()
                .filter(a -> !a.salt().isEmpty())
                .collect(Collectors.groupingBy(
                        Arrived::salt,
                        Collectors.mapping(
                                a -> new Owner(a.weights(), isolated.contains(a.customer()) ? a.customer() : ""),
                                Collectors.toSet())));
        return owners.entrySet().stream()
                .filter(e -> e.getValue().size() > 1)
                .map(e -> new Breach("isolation", e.getKey() + " is shared by " + e.getValue(), 0));
    }

    private record Ran(Asked asked, Arrived arrived) {
        String service() {
            return arrived.service();
        }
    }

    private static Stream<Ran> ran(History h) {
        Map<String, Asked> asked =
                h.asked().stream().collect(Collectors.toMap(Asked::id, Function.identity(), (a, b) -> a));
        return h.arrived().stream()
                .filter(a -> a.ran() && asked.containsKey(a.id()))
                .map(a -> new Ran(asked.get(a.id()), a));
    }
}
