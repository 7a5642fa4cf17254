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
 * Under which requests replicas ended, as far as this router saw or was told, and which of these requests are held
 * back.
 *
 * <p>Failure: a request makes each replica end that begins to run it, and comes again under another id by another
 * router. Symptom: it ends one replica after the other, and with them everything else that they were doing. Only its
 * content tells that it is the same, so ends are counted by content, and all routers share what they count.
 *
 * <p>What different routers know is joined as sets, so that the order and the number of tellings make no difference.
 * Owned by one thread.
 */
public final class CrashHistory {
    /** Requests that are remembered; bounds the memory to a few megabytes. */
    private static final int MAX_REQUESTS = 4_096;
    /** Ends that are remembered of one request. */
    private static final int MAX_CRASHES = 32;
    /** How long a request is held back after its last end, doubled with each end beyond the third. */
    private static final long HELD_MILLIS = 600_000;

    /** Ends of one request that are hardly chance any more. */
    private static final int LASTING_FROM = 2;

    private static final int MAX_DOUBLINGS = 5;
    /** How long after an end other routers may still tell what else was under way there. */
    private static final long SETTLING_MILLIS = 1_000;

    private final Clock clock;
    private final Map<RequestFingerprint, Map<Integer, SeenCrash>> requests = new LinkedHashMap<>();
    private Consumer<RequestFingerprint> listener = r -> {};
    private Optional<Set<RequestFingerprint>> blamed = Optional.empty();

    /**
     * Makes a history without any end.
     *
     * @param clock the clock
     */
    public CrashHistory(Clock clock) {
        this.clock = clock;
    }

    /**
     * Tells of each request of which more is known than before.
     *
     * @param onChange takes the request
     */
    public void listen(Consumer<RequestFingerprint> onChange) {
        listener = onChange;
    }

    /**
     * Tells whether nothing is known, so that no request's content needs a look.
     *
     * @return true while no end is remembered
     */
    public boolean isEmpty() {
        return requests.isEmpty();
    }

    /**
     * Tells whether anything is known of a request.
     *
     * @param request the request
     * @return true while an end under it is remembered
     */
    public boolean knows(RequestFingerprint request) {
        return requests.containsKey(request);
    }

    /**
     * Notes that a replica ended while a request was under way there.
     *
     * @param run the run of the request
     * @param replica a hash that names the run of the replica
     */
    public void crashed(LostRun run, int replica) {
        if (add(run.request(), replica, new SeenCrash(run.lostAt(), run.millis(), false))) {
            changed(run.request());
        }
    }

    /**
     * Notes that a request ran to its end, so that what ended before did not end because of it.
     *
     * @param request the request
     */
    public void completed(RequestFingerprint request) {
        Map<Integer, SeenCrash> crashes = requests.getOrDefault(request, Map.of());
        if (crashes.values().stream().anyMatch(s -> !s.cleared())) {
            crashes.replaceAll((replica, seen) -> seen.clear());
            changed(request);
        }
    }

    /**
     * Notes that a request ran to its end, and computes its fingerprint only if any end is remembered.
     *
     * @param request names the request
     */
    public void completed(Supplier<RequestFingerprint> request) {
        if (!isEmpty()) {
            completed(request.get());
        }
    }

    /**
     * Takes over what another router knows.
     *
     * @param report its report
     */
    public void merge(CrashReport report) {
        long now = clock.monotonicMillis();
        long kept = keptMillis(report.crashes().size());
        long news = report.crashes().stream()
                .filter(c -> c.ageMillis() < kept)
                .filter(c -> add(report.request(), c.replica(), SeenCrash.of(c, now)))
                .count();
        if (news > 0) {
            changed(report.request());
        }
    }

    private boolean add(RequestFingerprint request, int replica, SeenCrash seen) {
        Map<Integer, SeenCrash> known = requests.computeIfAbsent(request, r -> new HashMap<>());
        SeenCrash before = known.get(replica);
        if (before == null ? known.size() >= MAX_CRASHES : before.cleared() || !seen.cleared()) {
            return false;
        }
        known.put(replica, before == null ? seen : before.clear());
        return true;
    }

    /** The request that changed last stands last, so that the one that has not changed for longest is dropped first. */
    private void changed(RequestFingerprint request) {
        blamed = Optional.empty();
        requests.put(request, requests.remove(request));
        if (requests.size() > MAX_REQUESTS) {
            dropOne();
        }
        listener.accept(request);
    }

    /** Drops a request that is not held back; all of them are only if each has ended three replicas. */
    private void dropOne() {
        requests.keySet().stream()
                .filter(r -> requests.get(r).size() < CrashAttribution.BLAMED_FROM)
                .findFirst()
                .or(() -> requests.keySet().stream().findFirst())
                .ifPresent(requests::remove);
    }

    /** Forgets what is over. */
    public void sweep() {
        long now = clock.monotonicMillis();
        boolean gone = requests.values()
                .removeIf(crashes ->
                        crashes.values().stream().mapToLong(SeenCrash::at).max().orElse(0)
                                < now - keptMillis(crashes.size()));
        if (gone) {
            blamed = Optional.empty();
        }
    }

    private static long holdMillis(int crashes) {
        return HELD_MILLIS << Math.min(MAX_DOUBLINGS, Math.max(0, crashes - CrashAttribution.BLAMED_FROM));
    }

    /** Long enough that a request that ends a replica after it was held back is known again. */
    private static long keptMillis(int crashes) {
        return 2 * holdMillis(crashes);
    }

    /**
     * Decides whether a request is held back.
     *
     * @param request the request
     * @return how long it is held back from now on, in milliseconds; empty when it may run. Short where what other
     *     routers saw may still show that another request was the cause
     */
    public OptionalLong heldMillis(RequestFingerprint request) {
        if (!blamed().contains(request)) {
            return OptionalLong.empty();
        }
        Map<Integer, SeenCrash> crashes = requests.get(request);
        long last = crashes.values().stream()
                .filter(s -> !s.cleared())
                .mapToLong(SeenCrash::at)
                .max()
                .orElse(0);
        long age = clock.monotonicMillis() - last;
        long left = holdMillis(crashes.size()) - age;
        if (left <= 0) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(age < SETTLING_MILLIS ? SETTLING_MILLIS : left);
    }

    /**
     * Decides as {@link #heldMillis(RequestFingerprint)}, and computes the fingerprint only if any end is remembered.
     *
     * @param request names the request
     * @return how long it is held back from now on, in milliseconds; empty when it may run
     */
    public OptionalLong heldMillis(Supplier<RequestFingerprint> request) {
        return isEmpty() ? OptionalLong.empty() : heldMillis(request.get());
    }

    private Set<RequestFingerprint> blamed() {
        if (blamed.isEmpty()) {
            blamed = Optional.of(CrashAttribution.blame(suspects()));
        }
        return blamed.get();
    }

    private Map<RequestFingerprint, Set<Integer>> suspects() {
        return requests.entrySet().stream()
                .filter(e -> e.getValue().size() >= CrashAttribution.BLAMED_FROM)
                .filter(e -> SeenCrash.moments(e.getValue().values()) >= CrashAttribution.BLAMED_FROM)
                .collect(Collectors.toMap(Map.Entry::getKey, e -> uncleared(e.getValue())));
    }

    private static Set<Integer> uncleared(Map<Integer, SeenCrash> crashes) {
        return crashes.entrySet().stream()
                .filter(c -> !c.getValue().cleared())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /**
     * Counts the requests that are held back.
     *
     * @return their number
     */
    public int held() {
        return (int) blamed().stream().filter(r -> heldMillis(r).isPresent()).count();
    }

    /**
     * Lists what is known, to be told to other routers.
     *
     * @return a report a request, the one that changed last first
     */
    public List<CrashReport> reports() {
        List<CrashReport> all = new ArrayList<>(requests.size());
        requests.forEach((request, crashes) -> all.add(report(request, crashes)));
        Collections.reverse(all);
        return all;
    }

    /**
     * Lists the requests of which enough is known to be kept for a restart of all routers.
     *
     * @return their reports, the one that changed last first
     */
    public List<CrashReport> lastingReports() {
        return reports().stream()
                .filter(r -> r.crashes().size() >= LASTING_FROM)
                .toList();
    }

    /**
     * Tells what is known of one request.
     *
     * @param request the request
     * @return its report, empty when nothing is known of it any more
     */
    public Optional<CrashReport> report(RequestFingerprint request) {
        return Optional.ofNullable(requests.get(request)).map(crashes -> report(request, crashes));
    }

    private CrashReport report(RequestFingerprint request, Map<Integer, SeenCrash> crashes) {
        long now = clock.monotonicMillis();
        return new CrashReport(
                request,
                crashes.entrySet().stream()
                        .map(c -> c.getValue().report(c.getKey(), now))
                        .toList());
    }
}
