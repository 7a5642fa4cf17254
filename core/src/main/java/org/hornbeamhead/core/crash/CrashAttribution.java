package org.hornbeamhead.core.crash;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Determines which requests crash replicas, from the replicas that crashed while each request was running.
 *
 * <p>A request that was running during at least three crashes can be a culprit; requests with the most crashes are
 * considered first. Harmless requests that ran on the same replicas must not be rejected together with the culprit, so
 * the crashes attributed to one request no longer count against others.
 */
final class CrashAttribution {
    /** Crashes after which a request can be a culprit. */
    static final int MIN_CRASHES = 3;
    /** Crashes after which a request is a culprit regardless of what else was running. */
    static final int CONCLUSIVE_CRASHES = 6;
    /** Crashes that no other culprit explains, required of a culprit. A single one may be a coincidence. */
    private static final int MIN_UNEXPLAINED_CRASHES = 2;

    private final Map<RequestFingerprint, Set<Integer>> crashes;
    private final Map<RequestFingerprint, Set<Integer>> unexplained = new HashMap<>();
    private final Map<Integer, Integer> candidatesPerReplica = new HashMap<>();
    private final Set<RequestFingerprint> culprits = new HashSet<>();

    private CrashAttribution(Map<RequestFingerprint, Set<Integer>> crashes) {
        this.crashes = crashes;
        crashes.values()
                .forEach(replicas -> replicas.forEach(replica -> candidatesPerReplica.merge(replica, 1, Integer::sum)));
        crashes.forEach((request, replicas) -> {
            if (replicas.size() >= MIN_CRASHES) {
                unexplained.put(request, new HashSet<>(replicas));
            }
        });
    }

    /**
     * Finds the requests that cause crashes.
     *
     * @param crashes the replicas that crashed while each request was running
     * @return the requests held responsible
     */
    static Set<RequestFingerprint> findCulprits(Map<RequestFingerprint, Set<Integer>> crashes) {
        CrashAttribution attribution = new CrashAttribution(crashes);
        Optional<RequestFingerprint> next = attribution.mostLikelyCulprit();
        while (next.isPresent()) {
            attribution.attribute(next.get());
            next = attribution.mostLikelyCulprit();
        }
        crashes.forEach((request, replicas) -> {
            if (replicas.size() >= CONCLUSIVE_CRASHES) {
                attribution.culprits.add(request);
            }
        });
        return attribution.culprits;
    }

    private Optional<RequestFingerprint> mostLikelyCulprit() {
        return unexplained.entrySet().stream()
                .filter(e -> e.getValue().size() >= MIN_UNEXPLAINED_CRASHES)
                .map(Map.Entry::getKey)
                .max(Comparator.comparingInt(
                                (RequestFingerprint r) -> unexplained.get(r).size())
                        .thenComparingDouble(this::score)
                        .thenComparingLong(RequestFingerprint::value));
    }

    /** Weights each crash by the number of candidate requests, since fewer candidates are stronger evidence. */
    private double score(RequestFingerprint request) {
        return unexplained.get(request).stream()
                .mapToDouble(replica -> 1.0 / candidatesPerReplica.get(replica))
                .sum();
    }

    /**
     * Attributes the unexplained crashes of a request to it and to all requests with the same unexplained crashes. With
     * exactly the minimum of crashes, requests that cannot be told apart are not held responsible until a further
     * crash.
     */
    private void attribute(RequestFingerprint request) {
        Set<Integer> replicas = unexplained.get(request);
        List<RequestFingerprint> indistinguishable = unexplained.entrySet().stream()
                .filter(e -> e.getValue().equals(replicas))
                .map(Map.Entry::getKey)
                .toList();
        boolean ambiguous = indistinguishable.size() > 1 && crashes.get(request).size() == MIN_CRASHES;
        indistinguishable.forEach(unexplained::remove);
        if (!ambiguous) {
            culprits.addAll(indistinguishable);
            unexplained.values().forEach(remaining -> remaining.removeAll(replicas));
        }
    }
}
