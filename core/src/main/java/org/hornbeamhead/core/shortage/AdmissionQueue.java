package org.hornbeamhead.core.shortage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The deferrable requests of a service that wait in this router until there is room at the engines.
 *
 * <p>Customers take turns: the one whose requests of the last seconds had the fewest tokens goes first. In the
 * deployments one customer comes at up to 7.5 times its usual rate, within its quota; in the order of arrival it would
 * take the capacity of all others. Requests of one customer are ordered by their deadline.
 *
 * <p>Owned by one thread.
 *
 * @param <T> the type of a request
 */
public final class AdmissionQueue<T> {
    /** How long the tokens of a customer count, in milliseconds: the length of a short burst. */
    private static final double TURN_MEMORY_MILLIS = 3_000;
    /** Customers with fewer recent tokens than this are forgotten. */
    private static final double FORGOTTEN_TOKENS = 1;

    private final List<WaitingRequest<T>> waiting = new ArrayList<>();
    private final Map<String, RecentRate> sentTokens = new HashMap<>();

    /** What happens to a request. */
    public enum Decision {
        /** It is sent now. */
        SEND,
        /** It waits. */
        WAIT,
        /** It is refused now. */
        REFUSE
    }

    /**
     * The bounds of a queue.
     *
     * @param requests the largest number of requests
     * @param bytes the largest total size of their bodies
     */
    public record Bounds(int requests, long bytes) {
        /** The bounds of a router, of which the smallest has 258 MB of memory. */
        public static final Bounds ROUTER = new Bounds(64, 1_048_576);
    }

    /**
     * The decision on a new request.
     *
     * @param decision what happens to it
     * @param displaced the waiting requests that are refused in its place
     * @param <T> the type of a request
     */
    public record Offer<T>(Decision decision, List<WaitingRequest<T>> displaced) {
        /** Copies the displaced requests. */
        public Offer {
            displaced = List.copyOf(displaced);
        }

        private static <T> Offer<T> of(Decision decision) {
            return new Offer<>(decision, List.of());
        }
    }

    /**
     * Offers a new request.
     *
     * @param request the request
     * @param room the number of requests that may be sent now
     * @param bounds the bounds of this queue
     * @param nowMillis the monotonic time
     * @return the decision
     */
    public Offer<T> offer(WaitingRequest<T> request, int room, Bounds bounds, long nowMillis) {
        if (room > waiting.size()) {
            recordSent(request, nowMillis);
            return Offer.of(Decision.SEND);
        }
        if (request.isExpired(nowMillis)) {
            return Offer.of(Decision.REFUSE);
        }
        List<WaitingRequest<T>> all = new ArrayList<>(waiting);
        all.add(request);
        List<WaitingRequest<T>> displaced = new ArrayList<>();
        while (all.size() > bounds.requests() || bytes(all) > bounds.bytes()) {
            WaitingRequest<T> victim = victim(all, request);
            if (victim.equals(request)) {
                return Offer.of(Decision.REFUSE);
            }
            all.remove(victim);
            displaced.add(victim);
        }
        waiting.clear();
        waiting.addAll(all);
        return new Offer<>(Decision.WAIT, displaced);
    }

    /**
     * Returns which request a full queue refuses: the one with the latest deadline of the customer that has most
     * waiting, and of equal ones that of the newcomer.
     */
    private static <T> WaitingRequest<T> victim(List<WaitingRequest<T>> all, WaitingRequest<T> newcomer) {
        Map<String, Long> counts =
                all.stream().collect(Collectors.groupingBy(WaitingRequest::customer, Collectors.counting()));
        return all.stream()
                .max(Comparator.<WaitingRequest<T>>comparingLong(r -> counts.get(r.customer()))
                        .thenComparing(r -> r.customer().equals(newcomer.customer()))
                        .thenComparing(WaitingRequest::customer)
                        .thenComparingLong(WaitingRequest::latestStartMillis)
                        .thenComparing(r -> r.equals(newcomer)))
                .orElseThrow();
    }

    /**
     * Takes the requests that are sent now out of the queue.
     *
     * @param room the number of requests that may be sent
     * @param nowMillis the monotonic time
     * @return the requests, in their order
     */
    public List<T> poll(int room, long nowMillis) {
        List<T> sent = new ArrayList<>();
        while (sent.size() < room && !waiting.isEmpty()) {
            WaitingRequest<T> next = waiting.stream()
                    .min(Comparator.<WaitingRequest<T>>comparingDouble(r -> recentTokens(r.customer(), nowMillis))
                            .thenComparing(WaitingRequest::customer)
                            .thenComparingInt(WaitingRequest::priority)
                            .thenComparingLong(WaitingRequest::latestStartMillis))
                    .orElseThrow();
            waiting.remove(next);
            recordSent(next, nowMillis);
            sent.add(next.item());
        }
        return sent;
    }

    /** Less urgent requests count more, so that their customers' turns come less often, but still come. */
    private void recordSent(WaitingRequest<T> request, long nowMillis) {
        sentTokens.values().removeIf(r -> r.amount(nowMillis) < FORGOTTEN_TOKENS);
        sentTokens
                .computeIfAbsent(request.customer(), c -> new RecentRate(TURN_MEMORY_MILLIS))
                .add((double) Math.max(1, request.tokens()) * (1 + request.priority()), nowMillis);
    }

    private double recentTokens(String customer, long nowMillis) {
        return Optional.ofNullable(sentTokens.get(customer))
                .map(r -> r.amount(nowMillis))
                .orElse(0.0);
    }

    /**
     * Takes the requests out of the queue that could not be on time any more, or have waited for as long as they may.
     *
     * @param nowMillis the monotonic time
     * @return the requests, which are refused
     */
    public List<WaitingRequest<T>> expired(long nowMillis) {
        return removeAll(r -> r.isExpired(nowMillis));
    }

    /**
     * Takes requests out of the queue, because their callers left or the router stops.
     *
     * @param condition selects them
     * @return the requests
     */
    public List<WaitingRequest<T>> removeAll(Predicate<WaitingRequest<T>> condition) {
        List<WaitingRequest<T>> removed = waiting.stream().filter(condition).toList();
        waiting.removeAll(removed);
        return removed;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Returns the size of the bodies of waiting requests.
     *
     * @return bytes
     */
    public long bytes() {
        return bytes(waiting);
    }

    private static <T> long bytes(List<WaitingRequest<T>> requests) {
        return requests.stream().mapToLong(WaitingRequest::bodyBytes).sum();
    }
}
