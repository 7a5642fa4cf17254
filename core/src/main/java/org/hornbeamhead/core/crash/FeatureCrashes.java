package org.hornbeamhead.core.crash;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** The crashes at which one feature was present, one per run of a replica. */
final class FeatureCrashes {
    /** Limits the memory. */
    private static final int MAX_CRASHES = 32;

    private final Map<Integer, ObservedCrash> byReplica = new HashMap<>();

    /** Adds a crash, or what is new about one; returns whether anything is. */
    boolean add(int replica, ObservedCrash crash) {
        ObservedCrash previous = byReplica.get(replica);
        if (previous != null && (previous.exonerated() || !crash.exonerated())) {
            return false;
        }
        if (previous == null && byReplica.size() >= MAX_CRASHES && !removeExoneratedBefore(crash)) {
            return false;
        }
        byReplica.put(replica, previous == null ? crash : previous.exonerate());
        return true;
    }

    /**
     * Makes room for a crash by removing the oldest one that the feature did not cause, if that is older. A feature
     * that was present at many crashes of others can cause later ones.
     */
    private boolean removeExoneratedBefore(ObservedCrash crash) {
        Optional<Map.Entry<Integer, ObservedCrash>> oldest = byReplica.entrySet().stream()
                .filter(e -> e.getValue().exonerated())
                .min(Comparator.comparingLong(e -> e.getValue().observedAtMillis()))
                .filter(e -> e.getValue().observedAtMillis() < crash.observedAtMillis());
        oldest.ifPresent(e -> byReplica.remove(e.getKey()));
        return oldest.isPresent();
    }

    /** Exonerates the feature of the crashes that a survivor refutes; returns whether there are any. */
    boolean exonerate(long startedAtMillis) {
        if (byReplica.values().stream().noneMatch(c -> c.isRefutedBySurvivorSince(startedAtMillis))) {
            return false;
        }
        byReplica.replaceAll((replica, c) -> c.isRefutedBySurvivorSince(startedAtMillis) ? c.exonerate() : c);
        return true;
    }

    int count() {
        return byReplica.size();
    }

    /** Returns the crashes of which the feature is not exonerated. */
    List<ObservedCrash> caused() {
        return byReplica.values().stream().filter(c -> !c.exonerated()).toList();
    }

    /** Returns when the last crash was observed, whatever its cause. */
    long lastMillis() {
        return byReplica.values().stream()
                .mapToLong(ObservedCrash::observedAtMillis)
                .max()
                .orElse(0);
    }

    boolean isCandidate() {
        return count() >= CrashAttribution.MIN_CRASHES
                && ObservedCrash.countIndependent(byReplica.values()) >= CrashAttribution.MIN_CRASHES;
    }

    /** Returns the evidence against the feature; survivors before a time do not count in its favour. */
    CrashAttribution.Evidence evidence(long survivorsSinceMillis) {
        Set<Integer> replicas = byReplica.entrySet().stream()
                .filter(c -> !c.getValue().exonerated())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        boolean hasSurvivors = byReplica.values().stream()
                .anyMatch(c -> c.exonerated() && c.observedAtMillis() >= survivorsSinceMillis);
        return new CrashAttribution.Evidence(replicas, hasSurvivors);
    }

    /** Returns the replicas whose crash was observed after a time, and when. */
    Map<Integer, Long> observedAfter(long millis) {
        return byReplica.entrySet().stream()
                .filter(c -> c.getValue().observedAtMillis() > millis)
                .collect(Collectors.toMap(Map.Entry::getKey, c -> c.getValue().observedAtMillis()));
    }

    CrashReport report(CrashFeature feature, long now) {
        return new CrashReport(
                feature,
                byReplica.entrySet().stream()
                        .map(c -> c.getValue().toReport(c.getKey(), now))
                        .toList());
    }
}
