package org.hornbeamhead.soak.promise;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Acknowledged;
import org.hornbeamhead.soak.history.History.Asked;
import org.hornbeamhead.soak.history.History.Change;
import org.hornbeamhead.soak.history.History.Disturbed;
import org.hornbeamhead.soak.history.History.Listed;
import org.hornbeamhead.soak.history.History.Part;
import org.hornbeamhead.soak.history.RequestKind;

/** Promises about streams that go on while replicas of several software versions serve. */
final class ResumeChecks {
    private static final Pattern WRITER = Pattern.compile("(?m)^: (\\S+)\n");
    /** From as many resumed streams on, their share is compared with that of new ones. */
    private static final int LEAST_RESUMED = 12;
    /** Routers that were undisturbed for this long are in touch. */
    private static final long IN_TOUCH_MILLIS = 3_000;

    private static final long LONGEST_PART_MILLIS = 3_000;
    private static final int LEAST_REPLICAS = 2;
    private static final int OK = 200;

    private ResumeChecks() {}

    /** Returns a body without the lines that tell who wrote its events. */
    static String withoutWriters(String body) {
        return WRITER.matcher(body).replaceAll("");
    }

    private static Set<String> writers(String body) {
        return WRITER.matcher(body).results().map(m -> m.group(1)).collect(Collectors.toSet());
    }

    /** All events that a caller holds of a stream were written by one software version. */
    static Stream<Breach> oneSoftwareAStream(History h) {
        Stream<Breach> within = h.answered().stream()
                .filter(a -> writers(a.body()).size() > 1)
                .map(a -> new Breach("one software a stream", a.id() + " has " + writers(a.body()), a.at()));
        Stream<Breach> over = byStream(h).entrySet().stream()
                .filter(e -> writers(joined(e.getValue())).size() > 1)
                .map(e -> new Breach(
                        "one software a stream",
                        e.getKey() + " has " + writers(joined(e.getValue())) + ": " + e.getValue(),
                        e.getValue().iterator().next().at()));
        return Stream.concat(within, over);
    }

    private static Map<String, List<Part>> byStream(History h) {
        return h.parts().stream().collect(Collectors.groupingBy(p -> p.first().isEmpty() ? p.id() : p.first()));
    }

    private static String joined(Collection<Part> parts) {
        return parts.stream().map(Part::body).collect(Collectors.joining());
    }

    /** Each part is a beginning of what is left of the stream. */
    static Stream<Breach> ownParts(History h) {
        return h.parts().stream()
                .filter(p -> p.status() == OK && !isOwn(p))
                .map(p -> new Breach("own parts", "wrong part: " + p, p.at()));
    }

    private static boolean isOwn(Part part) {
        String right = RequestKind.eventsAfter(part.id(), part.last());
        String got = withoutWriters(part.body());
        return part.whole() ? right.equals(got) : right.startsWith(got);
    }

    /** Streams that are resumed go on half as often as new ones begin at least, while two replicas can take them. */
    static Stream<Breach> resumedStreamsGoOn(History h) {
        ResumeShares shares = shares(h);
        return shares.resumed() >= LEAST_RESUMED && shares.resumedShare() * 2 < shares.begunShare()
                ? Stream.of(new Breach("resumed streams go on", shares.toString(), 0))
                : Stream.empty();
    }

    /** Counts the streams of callers at undisturbed routers. */
    static ResumeShares shares(History h) {
        Map<String, Asked> asked = h.asked().stream().collect(Collectors.toMap(Asked::id, Function.identity()));
        Set<String> wrongKeys = h.acknowledged().stream()
                .filter(a -> a.change() == Change.KEY_GONE)
                .map(Acknowledged::subject)
                .collect(Collectors.toSet());
        Map<String, String> softwareByStream = byStream(h).entrySet().stream()
                .flatMap(e -> writer(joined(e.getValue())).map(w -> Map.entry(e.getKey(), w)))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        List<Part> inTouch = h.parts().stream()
                .filter(p -> !wrongKeys.contains(asked.get(p.id()).key()))
                .filter(p -> h.undisturbed(
                        asked.get(p.id()).router(), p.at() - IN_TOUCH_MILLIS, p.at() + LONGEST_PART_MILLIS))
                .toList();
        List<Part> begun = inTouch.stream().filter(p -> p.first().isEmpty()).toList();
        List<Part> resumed = inTouch.stream()
                .filter(p -> p.named() && softwareByStream.containsKey(p.first()))
                .filter(p -> countServing(h, softwareByStream.get(p.first()), p.at()) >= LEAST_REPLICAS)
                .toList();
        List<Part> atDisturbed = h.parts().stream()
                .filter(p -> !p.first().isEmpty())
                .filter(p -> !h.undisturbed(asked.get(p.id()).router(), p.at(), p.at()))
                .toList();
        return new ResumeShares(
                begun.size(),
                countGone(begun),
                resumed.size(),
                countGone(resumed),
                atDisturbed.size(),
                countGone(atDisturbed));
    }

    private static int countGone(List<Part> parts) {
        return (int) parts.stream().filter(p -> p.status() == OK).count();
    }

    private static Stream<String> writer(String body) {
        Matcher first = WRITER.matcher(body);
        return first.find() ? Stream.of(first.group(1)) : Stream.empty();
    }

    /** Counts the replicas of a version that served, undisturbed, around a time. */
    private static long countServing(History h, String software, long at) {
        return h.listed().stream()
                .filter(l -> l.software().equals(software) && l.at() <= at - IN_TOUCH_MILLIS)
                .filter(l -> serves(h, l, at))
                .count();
    }

    private static boolean serves(History h, Listed listed, long at) {
        boolean leaves = h.acknowledged().stream()
                        .anyMatch(a -> a.change() == Change.LEAVING
                                && a.subject().equals(listed.replica())
                                && a.at() <= at + LONGEST_PART_MILLIS)
                || h.announced().stream().anyMatch(a -> a.replica().equals(listed.replica()));
        boolean ended = h.disturbed().stream()
                .filter(d -> d.subject().equals(listed.replica()) && d.kind().equals(Disturbed.REPLICA_ENDED))
                .anyMatch(d -> d.from() <= at + LONGEST_PART_MILLIS);
        return !leaves && !ended && h.undisturbed(listed.replica(), at - IN_TOUCH_MILLIS, at + LONGEST_PART_MILLIS);
    }
}
