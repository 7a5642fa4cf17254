package org.hornbeamhead.soak.promise;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Answered;
import org.hornbeamhead.soak.history.History.Asked;
import org.hornbeamhead.soak.history.History.Change;
import org.hornbeamhead.soak.history.History.Disturbed;

/** The promise about callers of routers that have lost their path to all replicas. */
final class PathChecks {
    static final String KIND_PREFIX = "PATH_";
    /** Routers have this long to notice the loss. */
    private static final long NOTICE_MILLIS = 3_000;
    /** What ends this long before the path is restored, or the last answer, counts. */
    private static final long LONGEST_REQUEST_MILLIS = 3_000;

    private static final int ALLOWED_FAILURES = 10;
    private static final int ALLOWED_ONE_IN = 50;

    private PathChecks() {}

    /** Callers of a router without a path are served two thirds as often as others at least, but for a few. */
    static Stream<Breach> servedWithoutPath(History h) {
        Map<String, Answered> answers =
                h.answered().stream().collect(Collectors.toMap(Answered::id, Function.identity(), (a, b) -> a));
        Set<String> wrongKeys = h.acknowledged().stream()
                .filter(a -> a.change() == Change.KEY_GONE)
                .map(History.Acknowledged::subject)
                .collect(Collectors.toSet());
        wrongKeys.add(StateChecks.FORGED_KEY);
        List<Asked> proper = h.asked().stream()
                .filter(a -> !wrongKeys.contains(a.key()) && answers.containsKey(a.id()))
                .toList();
        return h.disturbed().stream()
                .filter(d -> d.kind().startsWith(KIND_PREFIX))
                .flatMap(cut -> unserved(h, proper, answers, cut));
    }

    private static Stream<Breach> unserved(
            History h, List<Asked> proper, Map<String, Answered> answers, Disturbed cut) {
        List<Asked> during = proper.stream()
                .filter(a -> a.at() >= cut.from() + NOTICE_MILLIS && a.at() <= cut.to() - LONGEST_REQUEST_MILLIS)
                .toList();
        List<Asked> atCut = during.stream()
                .filter(a -> a.router().equals(cut.subject()) && isOtherwiseCalm(h, a, cut))
                .toList();
        List<Asked> elsewhere = during.stream()
                .filter(a -> h.undisturbed(a.router(), a.at() - NOTICE_MILLIS, a.at() + LONGEST_REQUEST_MILLIS))
                .toList();
        long served = countServed(atCut, answers);
        double share = (double) served / Math.max(1, atCut.size());
        double shareElsewhere = (double) countServed(elsewhere, answers) / Math.max(1, elsewhere.size());
        long failed = atCut.size() - served;
        boolean breaks = share * 3 < shareElsewhere * 2 && failed > ALLOWED_FAILURES + atCut.size() / ALLOWED_ONE_IN;
        return breaks
                ? Stream.of(new Breach(
                        "served without a path",
                        cut.subject() + " served " + served + " of " + atCut.size() + " with " + cut.kind(),
                        cut.from()))
                : Stream.empty();
    }

    /** Returns whether nothing but lost paths disturbed the router of a request. */
    private static boolean isOtherwiseCalm(History h, Asked asked, Disturbed cut) {
        return h.disturbed().stream()
                .filter(d -> !d.equals(cut) && !d.kind().startsWith(KIND_PREFIX))
                .filter(d -> Set.of(asked.router(), History.ALL_ROUTERS).contains(d.subject()))
                .noneMatch(
                        d -> d.from() <= asked.at() + LONGEST_REQUEST_MILLIS && d.to() >= asked.at() - NOTICE_MILLIS);
    }

    private static long countServed(List<Asked> asked, Map<String, Answered> answers) {
        return asked.stream()
                .map(a -> answers.get(a.id()))
                .filter(a -> a.status() == 200 && a.whole())
                .count();
    }
}
