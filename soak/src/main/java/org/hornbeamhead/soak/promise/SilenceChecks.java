package org.hornbeamhead.soak.promise;

import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Answered;
import org.hornbeamhead.soak.history.History.Arrived;
import org.hornbeamhead.soak.history.History.Asked;
import org.hornbeamhead.soak.history.History.Change;
import org.hornbeamhead.soak.history.History.Disturbed;

/** The promise about streams of sound replicas that are silent for some time and go on. */
final class SilenceChecks {
    private static final String SILENCE = "REPLICA_FROZEN";
    /** The deadline that callers state. */
    private static final long DEADLINE_MILLIS = 3_000;

    private static final Set<String> ROUTER_ENDS = Set.of("ROUTER_KILLED", "ROUTER_STOPPED", "ALL_KILLED");

    private SilenceChecks() {}

    /** No stream is cut at which nothing but the silence of its replicas happened. */
    static Stream<Breach> silenceCutsNothing(History h) {
        Map<String, Asked> streams = h.asked().stream()
                .filter(a -> a.kind().streams())
                .collect(Collectors.toMap(Asked::id, a -> a, (a, b) -> a));
        Map<String, Set<String>> replicasById = h.arrived().stream()
                .collect(Collectors.groupingBy(Arrived::id, Collectors.mapping(Arrived::replica, Collectors.toSet())));
        return h.answered().stream()
                .filter(a -> !a.whole() && streams.containsKey(a.id()) && replicasById.containsKey(a.id()))
                .filter(a -> isSilenceAlone(h, streams.get(a.id()), a, replicasById.get(a.id())))
                .map(a -> new Breach(
                        "silence cuts nothing",
                        streams.get(a.id()) + " at " + replicasById.get(a.id()) + ": " + a,
                        a.at()));
    }

    private static boolean isSilenceAlone(History h, Asked asked, Answered answered, Set<String> replicas) {
        Set<String> routers = Set.of(asked.router(), History.ALL_ROUTERS);
        Predicate<Disturbed> meanwhile = d -> d.from() <= answered.at() && d.to() >= asked.at();
        Predicate<Disturbed> routerEnded = d -> routers.contains(d.subject())
                && (ROUTER_ENDS.contains(d.kind()) || d.kind().startsWith(PathChecks.KIND_PREFIX));
        Predicate<Disturbed> silent = d -> d.kind().equals(SILENCE);
        Predicate<Disturbed> atReplica = d -> replicas.contains(d.subject());
        return answered.at() - asked.at() < DEADLINE_MILLIS
                && h.disturbed().stream().filter(meanwhile).anyMatch(atReplica.and(silent))
                && h.disturbed().stream().filter(meanwhile).noneMatch(routerEnded.or(atReplica.and(silent.negate())))
                && replicas.stream().noneMatch(r -> leaves(h, r));
    }

    private static boolean leaves(History h, String replica) {
        return h.announced().stream().anyMatch(a -> a.replica().equals(replica))
                || h.acknowledged().stream()
                        .anyMatch(
                                a -> a.change() == Change.LEAVING && a.subject().equals(replica));
    }
}
