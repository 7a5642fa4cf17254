package org.hornbeamhead.soak.promise;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;
import org.hornbeamhead.soak.history.History.Acknowledged;
import org.hornbeamhead.soak.history.History.Answered;
import org.hornbeamhead.soak.history.History.Arrived;
import org.hornbeamhead.soak.history.History.Asked;
import org.hornbeamhead.soak.history.History.Change;
import org.hornbeamhead.soak.history.History.Disturbed;

/** Promises about repeats and about service after faults. */
final class LoadChecks {
    /** The budget of the routers' settings. */
    private static final double RATIO = 0.2;

    private static final double SLACK = 50;
    private static final long WINDOW_MILLIS = 10_000;
    /** After the last fault all processes serve again within this time. */
    private static final long RECOVERY_MILLIS = 12_000;

    private static final double SERVED_PART = 0.9;

    private LoadChecks() {}

    /**
     * In each window, repeats by all lives of all routers stay within their share of the requests and the fixed number.
     */
    static Stream<Breach> budget(History h) {
        return h.arrived().stream().collect(Collectors.groupingBy(Arrived::service)).entrySet().stream()
                .flatMap(e -> overspent(h, e.getKey(), e.getValue()));
    }

    private static Stream<Breach> overspent(History h, String service, List<Arrived> arrivals) {
        Set<String> ids = arrivals.stream().map(Arrived::id).collect(Collectors.toSet());
        List<Long> requests = h.asked().stream()
                .filter(a -> ids.contains(a.id()))
                .map(Asked::at)
                .toList();
        Set<String> seen = new HashSet<>();
        List<Long> repeats = arrivals.stream()
                .sorted(Comparator.comparingLong(Arrived::at))
                .filter(a -> !seen.add(a.id()))
                .map(Arrived::at)
                .toList();
        return repeats.stream()
                .flatMap(at -> Stream.of(at, at + WINDOW_MILLIS - 1))
                .filter(end -> within(repeats, end) > SLACK + RATIO * most(requests, end))
                .limit(1)
                .map(end -> new Breach("budget", overspending(service, repeats, requests, end), end));
    }

    private static String overspending(String service, List<Long> repeats, List<Long> requests, long end) {
        return service + " got " + within(repeats, end) + " repeats from " + (end - WINDOW_MILLIS + 1) + " to " + end
                + " ms, for " + most(requests, end) + " requests";
    }

    /** Requests of the window, the one before it, or the one between, whichever has most. */
    private static long most(List<Long> times, long end) {
        return Stream.of(0L, WINDOW_MILLIS / 2, WINDOW_MILLIS)
                .mapToLong(back -> within(times, end - back))
                .max()
                .orElse(0);
    }

    private static long within(List<Long> times, long end) {
        return times.stream().filter(t -> t <= end && t > end - WINDOW_MILLIS).count();
    }

    /** When all faults are over, callers are served again. */
    static Stream<Breach> serviceBack(History h) {
        long quiet = h.disturbed().stream().mapToLong(Disturbed::to).max().orElse(0) + RECOVERY_MILLIS;
        Map<String, Answered> answers =
                h.answered().stream().collect(Collectors.toMap(Answered::id, Function.identity(), (a, b) -> a));
        Set<String> wrongKeys = h.acknowledged().stream()
                .filter(a -> a.change() == Change.KEY_GONE)
                .map(Acknowledged::subject)
                .collect(Collectors.toSet());
        wrongKeys.add(StateChecks.FORGED_KEY);
        List<Asked> late = h.asked().stream()
                .filter(a -> a.at() > quiet && !wrongKeys.contains(a.key()))
                .filter(a -> answers.containsKey(a.id()))
                .toList();
        long served = late.stream()
                .map(a -> answers.get(a.id()))
                .filter(a -> a.status() == 200 && a.whole())
                .count();
        return served >= late.size() * SERVED_PART
                ? Stream.empty()
                : Stream.of(new Breach("service back", served + " of " + late.size() + " served", quiet));
    }
}
