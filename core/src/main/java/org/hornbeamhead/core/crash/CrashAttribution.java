package org.hornbeamhead.core.crash;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Determines which features of requests crash replicas, from the replicas that crashed while requests with each feature
 * were running.
 *
 * <p>A feature that was present at three crashes or more can be a culprit. Features without which no request has
 * survived come first, then those with the most crashes. Harmless requests that ran on the same replicas must not be
 * rejected together with the culprit, so the crashes attributed to one feature no longer count against others.
 */
final class CrashAttribution {
    /** Crashes after which a feature can be a culprit. */
    static final int MIN_CRASHES = 3;
    /** Crashes after which a content is a culprit regardless of what else was running. */
    static final int CONCLUSIVE_CRASHES = 6;
    /** Crashes that no other culprit explains, required of a culprit. A single one may be a coincidence. */
    private static final int MIN_UNEXPLAINED_CRASHES = 2;
    /** Crashes of a prompt part that another part may miss and still be the cause; one may be unrelated. */
    private static final int MAX_UNRELATED_CRASHES = 1;

    private final Map<CrashFeature, Evidence> evidence;
    private final Map<CrashFeature, Set<Integer>> unexplained = new HashMap<>();
    private final Map<Integer, Integer> candidatesPerReplica = new HashMap<>();
    private final Set<Integer> unsettled;
    private final Set<Culprit> culprits = new HashSet<>();

    /**
     * What is known of a feature.
     *
     * @param replicas the replicas that crashed while a request with it was running
     * @param hasSurvivors whether a replica has survived such a request between these crashes
     */
    record Evidence(Set<Integer> replicas, boolean hasSurvivors) {}

    private CrashAttribution(Map<CrashFeature, Evidence> evidence, Set<Integer> unsettled) {
        this.evidence = evidence;
        this.unsettled = unsettled;
        evidence.forEach((feature, known) -> {
            known.replicas().forEach(replica -> candidatesPerReplica.merge(replica, 1, Integer::sum));
            if (known.replicas().size() >= MIN_CRASHES) {
                unexplained.put(feature, new HashSet<>(known.replicas()));
            }
        });
    }

    /**
     * Finds what causes crashes.
     *
     * @param evidence what is known of each feature
     * @param unsettled the replicas whose crash some routers may not have reported yet
     * @return the culprits
     */
    static Set<Culprit> findCulprits(Map<CrashFeature, Evidence> evidence, Set<Integer> unsettled) {
        CrashAttribution attribution = new CrashAttribution(evidence, unsettled);
        Optional<CrashFeature> next = attribution.mostLikelyCulprit();
        while (next.isPresent()) {
            attribution.attribute(next.get());
            next = attribution.mostLikelyCulprit();
        }
        evidence.keySet().stream()
                .filter(f -> f.kind() == CrashFeature.Kind.CONTENT)
                .filter(f -> evidence.get(f).replicas().size() >= CONCLUSIVE_CRASHES)
                .map(Culprit::of)
                .forEach(attribution.culprits::add);
        return attribution.culprits;
    }

    private Optional<CrashFeature> mostLikelyCulprit() {
        return unexplained.entrySet().stream()
                .filter(e -> e.getValue().size() >= MIN_UNEXPLAINED_CRASHES)
                .map(Map.Entry::getKey)
                .max(Comparator.comparing((CrashFeature f) -> !evidence.get(f).hasSurvivors())
                        .thenComparingInt(f -> unexplained.get(f).size())
                        .thenComparingDouble(this::score)
                        .thenComparingLong(CrashFeature::value));
    }

    /** Weights each crash by the number of candidates, since fewer candidates are stronger evidence. */
    private double score(CrashFeature feature) {
        return unexplained.get(feature).stream()
                .mapToDouble(replica -> 1.0 / candidatesPerReplica.get(replica))
                .sum();
    }

    /** Attributes the unexplained crashes of a feature to it and to all features that cannot be told from it. */
    private void attribute(CrashFeature feature) {
        Set<Integer> replicas = unexplained.get(feature);
        List<CrashFeature> contents = unexplained.keySet().stream()
                .filter(f -> f.kind() == CrashFeature.Kind.CONTENT)
                .filter(f -> unexplained.get(f).equals(replicas))
                .toList();
        Set<CrashFeature> parts = partsMissingAtMost(0, feature);
        List<Culprit> found = contents.isEmpty() ? List.of(culpritOf(parts, feature)) : culpritsAmong(contents);
        contents.forEach(unexplained::remove);
        parts.forEach(unexplained::remove);
        if (!found.isEmpty()) {
            culprits.addAll(found);
            unexplained.values().forEach(remaining -> remaining.removeAll(replicas));
        }
    }

    /** Returns the parts that are as likely the cause as a feature, but for a number of crashes that they miss. */
    private Set<CrashFeature> partsMissingAtMost(int crashes, CrashFeature feature) {
        return unexplained.keySet().stream()
                .filter(f -> f.kind() == CrashFeature.Kind.PROMPT_PART)
                .filter(f ->
                        evidence.get(f).hasSurvivors() == evidence.get(feature).hasSurvivors())
                .filter(f -> countMissed(f, unexplained.get(feature)) <= crashes)
                .collect(Collectors.toSet());
    }

    /** Returns the culprit for parts that were present at the same crashes as a feature. */
    private Culprit culpritOf(Set<CrashFeature> parts, CrashFeature feature) {
        return new Culprit(
                parts, partsMissingAtMost(MAX_UNRELATED_CRASHES, feature).size() == 1);
    }

    /**
     * Counts the crashes at which a feature was not present. Reports on a part that few requests share come from fewer
     * routers, and arrive later than those on a popular one, so the latest crashes do not count.
     */
    private long countMissed(CrashFeature feature, Set<Integer> replicas) {
        return replicas.stream()
                .filter(r -> !unsettled.contains(r))
                .filter(r -> !unexplained.get(feature).contains(r))
                .count();
    }

    /**
     * Returns the culprits among contents that were present at the same crashes. With exactly the minimum of crashes,
     * contents that cannot be told apart are not held responsible until a further crash.
     */
    private List<Culprit> culpritsAmong(List<CrashFeature> contents) {
        boolean ambiguous =
                contents.size() > 1 && evidence.get(contents.get(0)).replicas().size() == MIN_CRASHES;
        return ambiguous ? List.of() : contents.stream().map(Culprit::of).toList();
    }
}
