package org.hornbeamhead.core.crash;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.hornbeamhead.core.time.Clock;

/**
 * Records which requests were running when replicas crashed, as observed by this router or reported by others, and
 * determines which of these requests are quarantined.
 *
 * <p>A request that crashes every replica running it can come back with another id and through another router, and
 * crash one replica after the other together with all their other work. Only its content identifies it, so crashes are
 * counted by content fingerprint and the counts are shared among all routers.
 *
 * <p>Reports are merged as sets, so the result does not depend on their order or on repetition. Not thread-safe: all
 * calls must come from one thread.
 */
public final class CrashHistory {
    /** Maximum number of tracked requests; limits the memory to a few megabytes. */
    private static final int MAX_REQUESTS = 4_096;
    /** Maximum number of crashes tracked per request. */
    private static final int MAX_CRASHES_PER_REQUEST = 32;
    /** How long a request is quarantined after its last crash; doubled with each crash after the third. */
    private static final long QUARANTINE_MILLIS = 600_000;

    /** Crashes of one request that are unlikely to be a coincidence. */
    private static final int MIN_CRASHES_TO_PERSIST = 2;

    private static final int MAX_DOUBLINGS = 5;
    /** How long after a crash reports from other routers about what else was running may still arrive. */
    private static final long PROPAGATION_MILLIS = 1_000;

    private final Clock clock;
    private final Map<RequestFingerprint, Map<Integer, ObservedCrash>> crashesByRequest = new LinkedHashMap<>();
    private Consumer<RequestFingerprint> listener = r -> {};
    private Optional<Set<RequestFingerprint>> culprits = Optional.empty();

    /**
     * Creates an empty history.
     *
     * @param clock the clock
     */
    public CrashHistory(Clock clock) {
        this.clock = clock;
    }

    /**
     * Sets the listener that is called with each request whose report has changed.
     *
     * @param onChange the listener
     */
    public void setListener(Consumer<RequestFingerprint> onChange) {
        listener = onChange;
    }

    /**
     * Returns whether no crash is recorded, in which case requests need no fingerprint.
     *
     * @return true if no crash is recorded
     */
    public boolean isEmpty() {
        return crashesByRequest.isEmpty();
    }

    /**
     * Returns whether a crash is recorded for a request.
     *
     * @param request the request
     * @return true if at least one crash is recorded for it
     */
    public boolean contains(RequestFingerprint request) {
        return crashesByRequest.containsKey(request);
    }

    /**
     * Records that a replica crashed while running a request.
     *
     * @param attempt the attempt that was lost
     * @param replica a hash that identifies the run of the replica
     */
    public void recordCrash(LostAttempt attempt, int replica) {
        if (add(
                attempt.request(),
                replica,
                new ObservedCrash(attempt.lostAtMillis(), attempt.durationMillis(), false))) {
            reportChanged(attempt.request());
        }
    }

    /**
     * Records that a request completed, which exonerates it of the crashes recorded so far.
     *
     * @param request the request
     */
    public void recordCompletion(RequestFingerprint request) {
        Map<Integer, ObservedCrash> crashes = crashesByRequest.getOrDefault(request, Map.of());
        if (crashes.values().stream().anyMatch(c -> !c.exonerated())) {
            crashes.replaceAll((replica, crash) -> crash.exonerate());
            reportChanged(request);
        }
    }

    /**
     * Records that a request completed. Computes the fingerprint only if a crash is recorded.
     *
     * @param request computes the fingerprint of the request
     */
    public void recordCompletion(Supplier<RequestFingerprint> request) {
        if (!isEmpty()) {
            recordCompletion(request.get());
        }
    }

    /**
     * Merges a report from another router.
     *
     * @param report the report
     */
    public void merge(CrashReport report) {
        long now = clock.monotonicMillis();
        long retention = retentionMillis(report.crashes().size());
        long added = report.crashes().stream()
                .filter(c -> c.ageMillis() < retention)
                .filter(c -> add(report.request(), c.replica(), ObservedCrash.of(c, now)))
                .count();
        if (added > 0) {
            reportChanged(report.request());
        }
    }

    private boolean add(RequestFingerprint request, int replica, ObservedCrash crash) {
        Map<Integer, ObservedCrash> known = crashesByRequest.computeIfAbsent(request, r -> new HashMap<>());
        ObservedCrash previous = known.get(replica);
        if (previous == null ? known.size() >= MAX_CRASHES_PER_REQUEST : previous.exonerated() || !crash.exonerated()) {
            return false;
        }
        known.put(replica, previous == null ? crash : previous.exonerate());
        return true;
    }

    /** Moves the request to the end of the map, so that the least recently changed request is evicted first. */
    private void reportChanged(RequestFingerprint request) {
        culprits = Optional.empty();
        crashesByRequest.put(request, crashesByRequest.remove(request));
        if (crashesByRequest.size() > MAX_REQUESTS) {
            evictOne();
        }
        listener.accept(request);
    }

    /**
     * Evicts the least recently changed request with fewer than three crashes, which cannot be quarantined, or the
     * least recently changed of all if there is none.
     */
    private void evictOne() {
        crashesByRequest.keySet().stream()
                .filter(r -> crashesByRequest.get(r).size() < CrashAttribution.MIN_CRASHES)
                .findFirst()
                .or(() -> crashesByRequest.keySet().stream().findFirst())
                .ifPresent(crashesByRequest::remove);
    }

    /** Removes requests whose retention time has passed since their last crash. */
    public void removeExpired() {
        long now = clock.monotonicMillis();
        boolean removed = crashesByRequest
                .values()
                .removeIf(crashes -> crashes.values().stream()
                                .mapToLong(ObservedCrash::observedAtMillis)
                                .max()
                                .orElse(0)
                        < now - retentionMillis(crashes.size()));
        if (removed) {
            culprits = Optional.empty();
        }
    }

    private static long quarantineDurationMillis(int crashes) {
        return QUARANTINE_MILLIS << Math.min(MAX_DOUBLINGS, Math.max(0, crashes - CrashAttribution.MIN_CRASHES));
    }

    /** Twice the quarantine, so that a request that crashes a replica soon after its quarantine is still known. */
    private static long retentionMillis(int crashes) {
        return 2 * quarantineDurationMillis(crashes);
    }

    /**
     * Returns how long a request stays quarantined.
     *
     * @param request the request
     * @return the remaining quarantine in milliseconds; empty if the request may run. Shortly after a crash the time is
     *     short, since reports from other routers may still show that another request was the cause
     */
    public OptionalLong quarantineMillis(RequestFingerprint request) {
        if (!culprits().contains(request)) {
            return OptionalLong.empty();
        }
        Map<Integer, ObservedCrash> crashes = crashesByRequest.get(request);
        long last = crashes.values().stream()
                .filter(c -> !c.exonerated())
                .mapToLong(ObservedCrash::observedAtMillis)
                .max()
                .orElse(0);
        long age = clock.monotonicMillis() - last;
        long remaining = quarantineDurationMillis(crashes.size()) - age;
        if (remaining <= 0) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(age < PROPAGATION_MILLIS ? PROPAGATION_MILLIS : remaining);
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

    private Set<RequestFingerprint> culprits() {
        if (culprits.isEmpty()) {
            culprits = Optional.of(CrashAttribution.findCulprits(candidates()));
        }
        return culprits.get();
    }

    private Map<RequestFingerprint, Set<Integer>> candidates() {
        return crashesByRequest.entrySet().stream()
                .filter(e -> e.getValue().size() >= CrashAttribution.MIN_CRASHES)
                .filter(e -> ObservedCrash.countIndependent(e.getValue().values()) >= CrashAttribution.MIN_CRASHES)
                .collect(Collectors.toMap(Map.Entry::getKey, e -> unexoneratedReplicas(e.getValue())));
    }

    private static Set<Integer> unexoneratedReplicas(Map<Integer, ObservedCrash> crashes) {
        return crashes.entrySet().stream()
                .filter(c -> !c.getValue().exonerated())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the number of quarantined requests.
     *
     * @return the number of quarantined requests
     */
    public int quarantinedCount() {
        return (int)
                culprits().stream().filter(r -> quarantineMillis(r).isPresent()).count();
    }

    /**
     * Returns all reports, for other routers.
     *
     * @return one report per request, most recently changed first
     */
    public List<CrashReport> reports() {
        List<CrashReport> all = new ArrayList<>(crashesByRequest.size());
        crashesByRequest.forEach((request, crashes) -> all.add(report(request, crashes)));
        Collections.reverse(all);
        return all;
    }

    /**
     * Returns the reports with enough crashes to be persisted across a restart of all routers.
     *
     * @return the reports, most recently changed first
     */
    public List<CrashReport> reportsToPersist() {
        return reports().stream()
                .filter(r -> r.crashes().size() >= MIN_CRASHES_TO_PERSIST)
                .toList();
    }

    /**
     * Returns the report of a request.
     *
     * @param request the request
     * @return the report, empty if no crash is recorded for the request
     */
    public Optional<CrashReport> report(RequestFingerprint request) {
        return Optional.ofNullable(crashesByRequest.get(request)).map(crashes -> report(request, crashes));
    }

    private CrashReport report(RequestFingerprint request, Map<Integer, ObservedCrash> crashes) {
        long now = clock.monotonicMillis();
        return new CrashReport(
                request,
                crashes.entrySet().stream()
                        .map(c -> c.getValue().toReport(c.getKey(), now))
                        .toList());
    }
}
