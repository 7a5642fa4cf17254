package org.hornbeamhead.soak.promise;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Asked;
import org.hornbeamhead.soak.history.History.Disturbed;
import org.hornbeamhead.soak.history.History.Ended;

/** The promises about requests that end each replica that runs them. */
final class CrashChecks {
    /** Ends after which a request must be known by its content. */
    private static final int CONTENT_KNOWN_FROM = 3;
    /** Ends after which requests must be known by a part of their prompts, which sound ones could share. */
    private static final int PART_KNOWN_FROM = 5;
    /** Time after which sound requests are told from those that end replicas. */
    private static final long TOLD_APART_MILLIS = 6_000;

    private static final int FEWEST_SOUND = 20;
    /** The reason of refusals, at the beginning of their bodies. */
    private static final String REASON = "replicas ended under";

    private static final int MOST_LATE = 3;
    /** Routers have told one another by this time. */
    private static final long TOLD_MILLIS = 3_000;
    /** What must outlive all routers is in the store by this time. */
    private static final long KEPT_MILLIS = 2_000;
    /** Disturbances that take what a router has in memory. */
    private static final Set<String> STARTED_ANEW = Set.of("ROUTER_KILLED", "ROUTER_STOPPED", "ALL_KILLED");

    private static final String STORE_KINDS = "STORE";

    private CrashChecks() {}

    /** Requests that have ended three or five replicas are sent three more times at most, once the routers know. */
    static Stream<Breach> sentFewTimes(History h) {
        Map<String, Asked> asked =
                h.asked().stream().collect(Collectors.toMap(Asked::id, Function.identity(), (a, b) -> a));
        return h.ended().stream().collect(Collectors.groupingBy(Ended::cause)).values().stream()
                .flatMap(ends -> sentTooOften(h, asked, ends));
    }

    private static Stream<Breach> sentTooOften(History h, Map<String, Asked> asked, List<Ended> ends) {
        List<Ended> inOrder =
                ends.stream().sorted(Comparator.comparingLong(Ended::at)).toList();
        int knownFrom = isPromptPart(ends.get(0).cause()) ? PART_KNOWN_FROM : CONTENT_KNOWN_FROM;
        if (ends.size() < knownFrom) {
            return Stream.empty();
        }
        long known = inOrder.get(knownFrom - 1).at();
        List<Ended> late = inOrder.stream()
                .filter(e -> asked.get(e.id()).at() > known + TOLD_MILLIS)
                .filter(e -> !isForgotten(h, known, e.at()))
                .toList();
        return late.size() <= MOST_LATE
                ? Stream.empty()
                : Stream.of(new Breach(
                        "requests that end replicas",
                        late.get(0).cause() + " was sent " + late.size() + " times too late",
                        late.get(0).at()));
    }

    /** Streams that share all other parts with requests that end replicas are not refused for these. */
    static Stream<Breach> soundAreServed(History h) {
        OptionalLong last = h.ended().stream()
                .filter(e -> isPromptPart(e.cause()))
                .mapToLong(Ended::at)
                .max();
        if (last.isEmpty()) {
            return Stream.empty();
        }
        Set<String> sound = h.asked().stream()
                .filter(a -> a.kind().streams() && !a.id().startsWith(History.ENDING_ID_PREFIX))
                .filter(a -> a.at() > last.getAsLong() + TOLD_APART_MILLIS)
                .map(Asked::id)
                .collect(Collectors.toSet());
        long refused = h.answered().stream()
                .filter(a -> sound.contains(a.id()) && a.body().startsWith(REASON))
                .count();
        return sound.size() < FEWEST_SOUND || 2 * refused <= sound.size()
                ? Stream.empty()
                : Stream.of(new Breach(
                        "sound requests beside those that end replicas",
                        refused + " of " + sound.size() + " sound streams were refused",
                        last.getAsLong() + TOLD_APART_MILLIS));
    }

    private static boolean isPromptPart(String cause) {
        return !cause.startsWith("/");
    }

    /** Whether no router is left that could know it, and the store could not keep it. */
    private static boolean isForgotten(History h, long known, long at) {
        List<Disturbed> meanwhile = h.disturbed().stream()
                .filter(d -> d.to() >= known && d.from() <= at)
                .toList();
        List<Disturbed> anew =
                meanwhile.stream().filter(d -> STARTED_ANEW.contains(d.kind())).toList();
        Set<String> gone = anew.stream().map(Disturbed::subject).collect(Collectors.toSet());
        boolean all = gone.contains(History.ALL_ROUTERS)
                || h.asked().stream().map(Asked::router).allMatch(gone::contains);
        boolean early = anew.stream().anyMatch(d -> d.from() < known + KEPT_MILLIS);
        boolean storeAway = meanwhile.stream().anyMatch(d -> d.kind().startsWith(STORE_KINDS));
        return all && (early || storeAway);
    }
}
