package org.hornbeamhead.soak.promise;

import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Answered;
import org.hornbeamhead.soak.history.History.Arrived;
import org.hornbeamhead.soak.history.History.Asked;
import org.hornbeamhead.soak.history.History.Disturbed;
import org.hornbeamhead.soak.history.History.Endless;

/** The promise about replicas that send bytes without end instead of answers. */
final class EndlessChecks {
    /** The deadline that callers state. */
    private static final long DEADLINE_MILLIS = 3_000;
    /**
     * Two mebibytes that a router may buffer, in chunks of four times their length, and what sockets and links hold.
     */
    private static final long MAX_BYTES = 24 << 20;

    private static final long MARGIN_MILLIS = 1_000;

    private EndlessChecks() {}

    /** Routers close such answers in time after few bytes, and all other requests are answered meanwhile. */
    static Stream<Breach> endlessAnswersAreClosed(History h) {
        Map<String, Answered> answers =
                h.answered().stream().collect(Collectors.toMap(Answered::id, Function.identity(), (a, b) -> a));
        Map<String, Set<String>> replicas = h.arrived().stream()
                .collect(Collectors.groupingBy(Arrived::id, Collectors.mapping(Arrived::replica, Collectors.toSet())));
        Stream<Breach> unbounded = h.endless().stream()
                .filter(e -> e.bytes() > MAX_BYTES || isClosedLate(h, e))
                .map(e -> new Breach("endless answers", e.toString(), e.from()));
        Stream<Breach> unanswered = h.asked().stream()
                .filter(a -> answers.containsKey(a.id()) && isUnanswered(answers.get(a.id())))
                .filter(a -> isBesideEndlessAnswerOnly(h, a, replicas.getOrDefault(a.id(), Set.of())))
                .map(a -> new Breach("endless answers", "not answered: " + a + " " + answers.get(a.id()), a.at()));
        return Stream.concat(unbounded, unanswered);
    }

    private static boolean isClosedLate(History h, Endless e) {
        long latest = e.from() + DEADLINE_MILLIS + MARGIN_MILLIS;
        return e.to() > latest
                && h.disturbed().stream()
                        .filter(d -> d.from() <= latest && d.to() >= e.from())
                        .allMatch(d -> d.kind().equals(Disturbed.REPLICA_ENDLESS));
    }

    private static boolean isUnanswered(Answered a) {
        return a.status() == 0 || !a.whole();
    }

    /** Returns whether a replica sent without end while nothing else happened to the request's router and replicas. */
    private static boolean isBesideEndlessAnswerOnly(History h, Asked asked, Set<String> replicas) {
        long to = asked.at() + DEADLINE_MILLIS;
        return h.endless().stream().anyMatch(e -> e.from() <= to && e.to() >= asked.at())
                && h.undisturbed(asked.router(), asked.at() - DEADLINE_MILLIS, to)
                && h.disturbed().stream()
                        .filter(d -> d.from() <= to && d.to() >= asked.at() - MARGIN_MILLIS)
                        .noneMatch(d -> replicas.contains(d.subject()));
    }
}
