package org.hornbeamhead.core.crash;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which requests made replicas end, from the sets of requests that were under way there.
 *
 * <p>A request under which three replicas ended is blamed, the one with the most ends first. Failure: others that
 * merely shared those replicas are blamed as well. Symptom: callers of sound requests are turned away together with the
 * one that did the harm. So the ends under a blamed request no longer count against others.
 */
final class CrashAttribution {
    /** Ends after which a request may be blamed. */
    static final int BLAMED_FROM = 3;
    /** Ends after which a request is blamed whatever else was under way there. */
    static final int BLAMED_ANYWAY_FROM = 6;
    /** Ends that no other blamed request accounts for; one may be chance. */
    private static final int LEAST_UNEXPLAINED = 2;

    private final Map<RequestFingerprint, Set<Integer>> crashes;
    private final Map<RequestFingerprint, Set<Integer>> unexplained = new HashMap<>();
    private final Map<Integer, Integer> suspectsAt = new HashMap<>();
    private final Set<RequestFingerprint> blamed = new HashSet<>();

    private CrashAttribution(Map<RequestFingerprint, Set<Integer>> crashes) {
        this.crashes = crashes;
        crashes.values().forEach(all -> all.forEach(replica -> suspectsAt.merge(replica, 1, Integer::sum)));
        crashes.forEach((request, replicas) -> {
            if (replicas.size() >= BLAMED_FROM) {
                unexplained.put(request, new HashSet<>(replicas));
            }
        });
    }

    /**
     * Decides.
     *
     * @param crashes the replicas that ended under each request
     * @return the requests to blame
     */
    static Set<RequestFingerprint> blame(Map<RequestFingerprint, Set<Integer>> crashes) {
        CrashAttribution attribution = new CrashAttribution(crashes);
        Optional<RequestFingerprint> next = attribution.mostSuspect();
        while (next.isPresent()) {
            attribution.judge(next.get());
            next = attribution.mostSuspect();
        }
        crashes.forEach((request, replicas) -> {
            if (replicas.size() >= BLAMED_ANYWAY_FROM) {
                attribution.blamed.add(request);
            }
        });
        return attribution.blamed;
    }

    private Optional<RequestFingerprint> mostSuspect() {
        return unexplained.entrySet().stream()
                .filter(e -> e.getValue().size() >= LEAST_UNEXPLAINED)
                .map(Map.Entry::getKey)
                .max(Comparator.comparingInt(
                                (RequestFingerprint r) -> unexplained.get(r).size())
                        .thenComparingDouble(this::weight)
                        .thenComparingLong(RequestFingerprint::value));
    }

    /** An end with few requests under way says more of each of them. */
    private double weight(RequestFingerprint request) {
        return unexplained.get(request).stream()
                .mapToDouble(replica -> 1.0 / suspectsAt.get(replica))
                .sum();
    }

    /** Two requests with the same ends cannot be told apart until one of them comes again without the other. */
    private void judge(RequestFingerprint request) {
        Set<Integer> replicas = unexplained.get(request);
        List<RequestFingerprint> alike = unexplained.entrySet().stream()
                .filter(e -> e.getValue().equals(replicas))
                .map(Map.Entry::getKey)
                .toList();
        boolean undecided = alike.size() > 1 && crashes.get(request).size() == BLAMED_FROM;
        alike.forEach(unexplained::remove);
        if (!undecided) {
            blamed.addAll(alike);
            unexplained.values().forEach(others -> others.removeAll(replicas));
        }
    }
}
