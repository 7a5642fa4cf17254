package org.hornbeamhead.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntConsumer;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.function.Predicate;

/**
 * The replicas with a request limit, and the hints that routers send one another about them. Replicas are named by a
 * hash of their run.
 *
 * <p>Not thread-safe.
 */
public final class LimitExchange {
    private final long life;
    private final Map<Integer, RequestLimiter> relevant = new HashMap<>();
    private int sequence;

    /**
     * Creates an exchange that knows no replica with a limit.
     *
     * @param life a random number that identifies this run of the router
     */
    public LimitExchange(long life) {
        this.life = life;
    }

    /**
     * Adds a replica whose limit has changed.
     *
     * @param replica a hash of the name of its run
     * @param limiter its limiter
     */
    public void add(int replica, RequestLimiter limiter) {
        relevant.put(replica, limiter);
    }

    /**
     * Processes a hint of another router.
     *
     * @param datagram the bytes that were received; other kinds of datagrams are ignored
     * @param limiters finds the limiter of a replica, empty if the replica is not known
     * @param changed called with each replica whose limit has changed
     * @param nowMillis the monotonic time
     */
    public void merge(
            byte[] datagram, IntFunction<Optional<RequestLimiter>> limiters, IntConsumer changed, long nowMillis) {
        LimitHint.decode(datagram).filter(hint -> hint.life() != life).ifPresent(hint -> hint.entries()
                .forEach(e -> limiters.apply(e.replica())
                        .filter(l -> l.merge(hint.life(), hint.sequence(), e, nowMillis))
                        .ifPresent(l -> {
                            add(e.replica(), l);
                            changed.accept(e.replica());
                        })));
    }

    /**
     * Returns how many replicas have a limit.
     *
     * @return the number, as far as this router knows
     */
    public long countLimited() {
        return relevant.values().stream().filter(RequestLimiter::isLimited).count();
    }

    /**
     * Returns whether there is anything that other routers were not told yet.
     *
     * @return true if {@link #takeChanges} would return any datagram
     */
    public boolean hasChanges() {
        return relevant.values().stream().anyMatch(RequestLimiter::hasUntold);
    }

    /**
     * Returns what other routers were not told yet.
     *
     * @param nowMillis the monotonic time
     * @return the datagrams
     */
    public List<byte[]> takeChanges(long nowMillis) {
        return hints(RequestLimiter::hasUntold, nowMillis);
    }

    /**
     * Returns all that other routers have to know.
     *
     * @param listed whether a replica is still listed; others are dropped
     * @param nowMillis the monotonic time
     * @return the datagrams, none if no replica has a limit
     */
    public List<byte[]> summary(IntPredicate listed, long nowMillis) {
        relevant.entrySet().removeIf(e -> !e.getValue().isRelevant(nowMillis) || !listed.test(e.getKey()));
        return hints(limiter -> true, nowMillis);
    }

    private List<byte[]> hints(Predicate<RequestLimiter> filter, long nowMillis) {
        List<LimitHint.Entry> entries = relevant.entrySet().stream()
                .filter(e -> filter.test(e.getValue()))
                .map(e -> e.getValue().takeEntry(e.getKey(), nowMillis))
                .toList();
        List<byte[]> hints = new ArrayList<>();
        for (int from = 0; from < entries.size(); from += LimitHint.MAX_ENTRIES) {
            int to = Math.min(entries.size(), from + LimitHint.MAX_ENTRIES);
            sequence++;
            hints.add(new LimitHint(life, sequence, entries.subList(from, to)).encode());
        }
        return hints;
    }
}
