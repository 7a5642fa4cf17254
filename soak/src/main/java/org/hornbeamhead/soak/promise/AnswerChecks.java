package org.hornbeamhead.soak.promise;

import java.util.HashSet;
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

/** Promises about answers, whatever the faults were. */
final class AnswerChecks {
    /** Statuses that say that a request has not run and never will. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private static final int OK = 200;
    /** How long a stopping router takes new requests: its old address answers run out in this time. */
    private static final long TAKES_MILLIS = 2_300;
    /** A fault this long before a request may still show in it. */
    private static final long SETTLE_MILLIS = 5_000;

    private AnswerChecks() {}

    /** A whole success is the answer of the request itself, and a cut stream is a beginning of it. */
    static Stream<Breach> ownAnswers(History h) {
        Map<String, Asked> asked = byId(h);
        return h.answered().stream()
                .filter(a -> a.status() == OK && !isOwn(asked.get(a.id()), a))
                .map(a -> new Breach("own answers", "wrong answer: " + a, a.at()));
    }

    private static boolean isOwn(Asked asked, Answered a) {
        String right = asked.kind().answer(a.id());
        String got = ResumeChecks.withoutWriters(a.body());
        return a.whole() ? right.equals(got) : right.startsWith(got);
    }

    /** A request that may not be repeated has run once at most. */
    static Stream<Breach> atMostOnce(History h) {
        Map<String, Asked> asked = byId(h);
        return runs(h).entrySet().stream()
                .filter(e -> e.getValue() > 1)
                .filter(e -> !asked.get(e.getKey()).kind().repeatable())
                .map(e -> new Breach(
                        "at most once",
                        e.getKey() + " ran " + e.getValue() + " times",
                        asked.get(e.getKey()).at()));
    }

    /** What was refused as not run has not run, neither before nor after. */
    static Stream<Breach> trueRefusals(History h) {
        Set<String> ran = runs(h).keySet();
        Stream<Answered> parts =
                h.parts().stream().map(p -> new Answered(p.id(), p.status(), p.body(), p.whole(), p.at()));
        return Stream.concat(h.answered().stream(), parts)
                .filter(a -> NOT_RUN.contains(a.status()) && ran.contains(a.id()))
                .map(a -> new Breach("true refusals", a.id() + " got " + a.status() + " and ran", a.at()));
    }

    /** Nothing runs that no caller sent. */
    static Stream<Breach> nothingUnasked(History h) {
        Set<String> asked = h.asked().stream().map(Asked::id).collect(Collectors.toSet());
        return h.arrived().stream()
                .filter(a -> !asked.contains(a.id()))
                .map(a -> new Breach("nothing unasked", "nobody sent " + a, a.at()));
    }

    /** A router that is told to stop answers what it has taken. */
    static Stream<Breach> plannedStopsCutNothing(History h) {
        Map<String, Answered> answers =
                h.answered().stream().collect(Collectors.toMap(Answered::id, Function.identity(), (a, b) -> a));
        return h.disturbed().stream().filter(Disturbed::planned).flatMap(stop -> h.asked().stream()
                .filter(a -> a.router().equals(stop.subject()))
                .filter(a -> a.at() >= stop.from() && a.at() < stop.from() + TAKES_MILLIS)
                .filter(a -> answers.containsKey(a.id()) && !answers.get(a.id()).whole())
                .filter(a -> nothingElse(h, stop, answers.get(a.id())))
                .map(a -> new Breach("planned stops cut nothing", a + " " + answers.get(a.id()), a.at())));
    }

    /** Whether the stop was the only thing that could have cut the answer. */
    private static boolean nothingElse(History h, Disturbed stop, Answered answer) {
        return h.disturbed().stream()
                .filter(d -> !d.equals(stop))
                .filter(d -> !d.planned() || d.subject().equals(stop.subject()))
                .noneMatch(d -> d.from() <= answer.at() && d.to() >= stop.from() - SETTLE_MILLIS);
    }

    private static Map<String, Asked> byId(History h) {
        return h.asked().stream().collect(Collectors.toMap(Asked::id, Function.identity()));
    }

    /** How many times each request ran: runs at different replicas, and at the same one. */
    private static Map<String, Long> runs(History h) {
        Set<String> known = new HashSet<>(byId(h).keySet());
        return h.arrived().stream()
                .filter(Arrived::ran)
                .filter(a -> known.contains(a.id()))
                .collect(Collectors.groupingBy(Arrived::id, Collectors.counting()));
    }
}
