package org.hornbeamhead.core.crash;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.hornbeamhead.core.time.Clock;

/**
 * Records which features of requests were present when replicas crashed, as observed by this router or reported by
 * others, and determines which requests are quarantined.
 *
 * <p>A request that crashes every replica running it can come back with another id and through another router, and
 * crash one replica after the other together with all their other work. What its arrivals have in common may be the
 * whole content, or only a part of the prompt. Crashes are therefore counted for each feature of a request, and the
 * counts are shared among all routers.
 *
 * <p>Reports are merged as sets, so the result does not depend on their order or on repetition. Not thread-safe: all
 * calls must come from one thread.
 */
public final class CrashHistory {
    /** Maximum number of tracked features; limits the memory to a few megabytes. */
    private static final int MAX_FEATURES = 4_096;

    /** Crashes of one feature that are unlikely to be a coincidence. */
    private static final int MIN_CRASHES_TO_PERSIST = 2;

    /** How long after a crash reports from other routers about what else was running may still arrive. */
    private static final long PROPAGATION_MILLIS = 1_000;
    /** How long a survivor counts in favour of a feature; a prompt part may crash replicas from some moment on. */
    private static final long SURVIVOR_MILLIS = 60_000;

    /** The shortest time between two requests that all routers together let run to tell features apart. */
    private static final long TEST_INTERVAL_MILLIS = 70;

    private final Clock clock;
    private final double stagger;
    private final IntSupplier routerCount;
    private final Map<CrashFeature, FeatureCrashes> crashesByFeature = new LinkedHashMap<>();
    private Consumer<CrashFeature> listener = f -> {};
    private Optional<Set<Culprit>> culprits = Optional.empty();
    private long culpritsValidUntilMillis;
    private long lastTestMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an empty history of a single router.
     *
     * @param clock the clock
     */
    public CrashHistory(Clock clock) {
        this(clock, 0, () -> 1);
    }

    /**
     * Creates an empty history.
     *
     * @param clock the clock
     * @param stagger how much longer than necessary this router quarantines prompt parts, as a share of the time.
     *     Routers with different values do not all let requests pass at the same moment
     * @param routerCount the number of routers
     */
    public CrashHistory(Clock clock, double stagger, IntSupplier routerCount) {
        this.clock = clock;
        this.stagger = stagger;
        this.routerCount = routerCount;
    }

    /**
     * Sets the listener that is called with each feature whose report has changed.
     *
     * @param onChange the listener
     */
    public void setListener(Consumer<CrashFeature> onChange) {
        listener = onChange;
    }

    /**
     * Returns whether no crash is recorded, in which case requests need no fingerprint.
     *
     * @return true if no crash is recorded
     */
    public boolean isEmpty() {
        return crashesByFeature.isEmpty();
    }

    /**
     * Returns whether a crash is recorded for a feature.
     *
     * @param feature the feature
     * @return true if at least one crash is recorded for it
     */
    public boolean contains(CrashFeature feature) {
        return crashesByFeature.containsKey(feature);
    }

    /**
     * Returns for how many crashes a feature was present.
     *
     * @param feature the feature
     * @return the number of crashes, including those that it did not cause
     */
    int crashCount(CrashFeature feature) {
        return crashesOf(feature).map(FeatureCrashes::count).orElse(0);
    }

    /**
     * Records that a replica crashed while running a request. It did not crash because of a request that it had been
     * answering for some time.
     *
     * @param attempt the attempt that was lost
     * @param replica a hash that identifies the run of the replica
     */
    public void recordCrash(LostAttempt attempt, int replica) {
        ObservedCrash crash =
                new ObservedCrash(attempt.lostAtMillis(), attempt.durationMillis(), attempt.wasSurvived());
        attempt.request().features().filter(f -> add(f, replica, crash)).forEach(this::reportChanged);
    }

    /**
     * Records that a replica survived a request, which exonerates the features of the request of the crashes before it
     * began to run.
     *
     * @param request the request
     * @param startedAtMillis the monotonic time at which the request began to run
     */
    public void recordSurvival(RequestFingerprint request, long startedAtMillis) {
        request.features().forEach(f -> exonerate(f, startedAtMillis));
    }

    /**
     * Records that a request completed, which exonerates its content of the crashes recorded so far. Its prompt parts
     * are exonerated only once the replica has survived for some time.
     *
     * @param request the request
     */
    public void recordCompletion(RequestFingerprint request) {
        exonerate(request.content(), Long.MAX_VALUE);
    }

    private void exonerate(CrashFeature feature, long startedAtMillis) {
        if (crashesOf(feature).filter(c -> c.exonerate(startedAtMillis)).isPresent()) {
            reportChanged(feature);
        }
    }

    private Optional<FeatureCrashes> crashesOf(CrashFeature feature) {
        return Optional.ofNullable(crashesByFeature.get(feature));
    }

    /**
     * Merges a report from another router.
     *
     * @param report the report
     */
    public void merge(CrashReport report) {
        long now = clock.monotonicMillis();
        long retention = QuarantineTime.retentionMillis(report.crashes().size());
        long added = report.crashes().stream()
                .filter(c -> c.ageMillis() < retention)
                .filter(c -> add(report.feature(), c.replica(), ObservedCrash.of(c, now)))
                .count();
        if (added > 0) {
            reportChanged(report.feature());
        }
    }

    private boolean add(CrashFeature feature, int replica, ObservedCrash crash) {
        return crashesByFeature
                .computeIfAbsent(feature, f -> new FeatureCrashes())
                .add(replica, crash);
    }

    /** Moves the feature to the end of the map, so that the least recently changed feature is evicted first. */
    private void reportChanged(CrashFeature feature) {
        culprits = Optional.empty();
        crashesByFeature.put(feature, crashesByFeature.remove(feature));
        if (crashesByFeature.size() > MAX_FEATURES) {
            evictOne();
        }
        listener.accept(feature);
    }

    /**
     * Evicts the least recently changed feature with fewer than three crashes, which cannot be quarantined, or the
     * least recently changed of all if there is none.
     */
    private void evictOne() {
        crashesByFeature.keySet().stream()
                .filter(f -> crashCount(f) < CrashAttribution.MIN_CRASHES)
                .findFirst()
                .or(() -> crashesByFeature.keySet().stream().findFirst())
                .ifPresent(crashesByFeature::remove);
    }

    /** Removes features whose retention time has passed since their last crash. */
    public void removeExpired() {
        long now = clock.monotonicMillis();
        boolean removed = crashesByFeature
                .values()
                .removeIf(c -> c.lastMillis() < now - QuarantineTime.retentionMillis(c.count()));
        if (removed) {
            culprits = Optional.empty();
        }
    }

    /**
     * Returns how long a request stays quarantined.
     *
     * @param request the request
     * @return the remaining quarantine in milliseconds; empty if the request may run. Shortly after a crash the time is
     *     short, since reports from other routers may still show that another request was the cause
     */
    public OptionalLong quarantineMillis(RequestFingerprint request) {
        return culprits().stream()
                .filter(c -> c.includes(request))
                .mapToLong(this::remainingMillis)
                .filter(millis -> millis > 0)
                .max();
    }

    /**
     * Returns whether the end of a quarantined request shows which of several features crashes replicas.
     *
     * @param request the request
     * @return true if the request does not have all features that are suspected together
     */
    public boolean isTest(RequestFingerprint request) {
        return culprits().stream().filter(c -> c.includes(request)).allMatch(c -> c.isTestedBy(request));
    }

    /**
     * Lets a quarantined request run if its end shows which of several features crashes replicas. Few requests are let
     * through, since any of them may crash one more replica.
     *
     * @param request the request
     * @return true if the request may run once
     */
    public boolean admitAsTest(RequestFingerprint request) {
        long now = clock.monotonicMillis();
        if (now - lastTestMillis < TEST_INTERVAL_MILLIS * routerCount.getAsInt() || !isTest(request)) {
            return false;
        }
        lastTestMillis = now;
        return true;
    }

    private long remainingMillis(Culprit culprit) {
        return culprit.features().stream()
                .mapToLong(f -> remainingMillis(f, culprit.certain()))
                .max()
                .orElse(0);
    }

    private long remainingMillis(CrashFeature feature, boolean certain) {
        List<ObservedCrash> caused =
                crashesOf(feature).map(FeatureCrashes::caused).orElse(List.of());
        long last =
                caused.stream().mapToLong(ObservedCrash::observedAtMillis).max().orElse(0);
        long age = clock.monotonicMillis() - last;
        long remaining = durationMillis(feature.kind(), crashCount(feature), certain ? caused.size() : 0) - age;
        return remaining > 0 && age < PROPAGATION_MILLIS ? PROPAGATION_MILLIS : remaining;
    }

    private long durationMillis(CrashFeature.Kind kind, int crashes, int caused) {
        return kind == CrashFeature.Kind.CONTENT
                ? QuarantineTime.contentMillis(crashes)
                : Math.round(QuarantineTime.promptPartMillis(caused) * (1 + stagger));
    }

    /**
     * Returns {@link #quarantineMillis(RequestFingerprint)}, computing the fingerprint only if a crash is recorded.
     *
     * @param request computes the fingerprint of the request
     * @return the remaining quarantine in milliseconds; empty if the request may run
     */
    public OptionalLong quarantineMillis(Supplier<RequestFingerprint> request) {
        return isEmpty() ? OptionalLong.empty() : quarantineMillis(request.get());
    }

    private Set<Culprit> culprits() {
        long now = clock.monotonicMillis();
        if (culprits.isEmpty() || now >= culpritsValidUntilMillis) {
            Map<Integer, Long> unsettled = unsettledCrashes(now);
            culprits = Optional.of(CrashAttribution.findCulprits(candidates(), unsettled.keySet()));
            culpritsValidUntilMillis = unsettled.values().stream()
                    .mapToLong(observedAt -> observedAt + PROPAGATION_MILLIS)
                    .min()
                    .orElse(Long.MAX_VALUE);
        }
        return culprits.get();
    }

    /** Returns the replicas whose crash some routers may not have reported yet, and when each was observed. */
    private Map<Integer, Long> unsettledCrashes(long now) {
        return crashesByFeature.values().stream()
                .flatMap(c -> c.observedAfter(now - PROPAGATION_MILLIS).entrySet().stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Math::min));
    }

    private Map<CrashFeature, CrashAttribution.Evidence> candidates() {
        long survivorsSince = clock.monotonicMillis() - SURVIVOR_MILLIS;
        return crashesByFeature.entrySet().stream()
                .filter(e -> e.getValue().isCandidate())
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().evidence(survivorsSince)));
    }

    /**
     * Returns the number of culprits whose requests are quarantined.
     *
     * @return the number of contents and of prompt parts, or groups of these, that are quarantined
     */
    public int quarantinedCount() {
        return (int) culprits().stream().filter(c -> remainingMillis(c) > 0).count();
    }

    /**
     * Returns all reports, for other routers.
     *
     * @return one report per feature, most recently changed first
     */
    public List<CrashReport> reports() {
        List<CrashReport> all = new ArrayList<>(crashesByFeature.size());
        long now = clock.monotonicMillis();
        crashesByFeature.forEach((feature, crashes) -> all.add(crashes.report(feature, now)));
        Collections.reverse(all);
        return all;
    }

    /**
     * Returns the reports with enough crashes to be persisted across a restart of all routers. Of prompt parts only
     * culprits are persisted: popular parts were present at many crashes of others, and what exonerates them follows
     * after the write.
     *
     * @param kind the kind of features
     * @return the reports on features of this kind, those with the most crashes first
     */
    public List<CrashReport> reportsToPersist(CrashFeature.Kind kind) {
        return reports().stream()
                .filter(r -> r.feature().kind() == kind)
                .filter(r -> causedCount(r) >= MIN_CRASHES_TO_PERSIST)
                .filter(r -> kind == CrashFeature.Kind.CONTENT || isCulprit(r.feature()))
                .sorted(Comparator.comparingLong(CrashHistory::causedCount).reversed())
                .toList();
    }

    private boolean isCulprit(CrashFeature feature) {
        return culprits().stream().anyMatch(c -> c.features().contains(feature));
    }

    private static long causedCount(CrashReport report) {
        return report.crashes().stream().filter(c -> !c.exonerated()).count();
    }

    /**
     * Returns the report of a feature.
     *
     * @param feature the feature
     * @return the report, empty if no crash is recorded for the feature
     */
    public Optional<CrashReport> report(CrashFeature feature) {
        return crashesOf(feature).map(crashes -> crashes.report(feature, clock.monotonicMillis()));
    }
}
