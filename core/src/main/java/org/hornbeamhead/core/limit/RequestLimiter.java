package org.hornbeamhead.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Holds the request limit of one run of a replica together with the other routers.
 *
 * <p>Answers the load of a replica in need that all routers would otherwise send to as before. Each router tells the
 * others how many requests it sent in the last seconds, and all evaluate one token bucket over the sum. What was sent
 * before the limit was known counts too, since the replica still works on it. What all routers send above the limit is
 * at most what arrives between two hints; the bucket then fills up again before the next request.
 *
 * <p>Not thread-safe.
 */
public final class RequestLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;
    /** Capacity of the bucket, as the time in which the limit fills it; at least one request. */
    private static final double BURST_SECONDS = 0.5;
    /** For this long after a replica stopped to state a limit, other routers are told so. */
    private static final long ENDED_RETENTION_MILLIS = 3_000;
    /** The level from which a request is within the limit; sums of fractions may be a little less than one. */
    private static final double ONE_REQUEST = 1 - 1e-6;
    /** A hint may be read this late, so that what it tells may be older by as much. */
    private static final long MAX_HINT_DELAY_MILLIS = 1_000;
    /** The latest booked return; callers that are told to wait longer give up. */
    private static final long MAX_BOOKED_MILLIS = 30_000;
    /** All requests are forgotten after this time, so that even a limit of 0 lets one pass, which may show its end. */
    private static final long WINDOW_MILLIS = RecentSends.SLOTS * RecentSends.SLOT_MILLIS;

    private final RecentSends ownSends = new RecentSends();
    /** What other routers told of their sends, by their life. */
    private final Map<Long, PeerSends> peers = new HashMap<>();

    private StatedLimit stated = StatedLimit.NONE;
    private StatedLimit statedToOwn = StatedLimit.NONE;
    private long returnsBookedUntilMillis = Long.MIN_VALUE / 2;
    private boolean untold;

    /** The sends of another router, as it told them. */
    private record PeerSends(int sequence, long atMillis, List<Integer> sendsByAge) {
        int count(long slot) {
            long age = RecentSends.slot(atMillis) - slot;
            return age >= 0 && age < sendsByAge.size() ? sendsByAge.get((int) age) : 0;
        }
    }

    /**
     * Records what an answer to this router stated.
     *
     * @param statement the statement
     * @return whether another limit holds from now on
     */
    public boolean observe(StatedLimit statement) {
        statedToOwn = statedToOwn.latest(statement);
        return adopt(statement);
    }

    private boolean adopt(StatedLimit statement) {
        StatedLimit before = stated;
        stated = before.latest(statement);
        boolean changed = stated.requestsPerSecond() != before.requestsPerSecond();
        untold |= changed;
        return changed;
    }

    /**
     * Processes what another router told.
     *
     * @param life identifies the run of the other router
     * @param sequence the number of the hint in that run; hints that are older than the last one are ignored
     * @param entry what it told of this replica
     * @param nowMillis the monotonic time
     * @return whether another limit holds from now on
     */
    public boolean merge(long life, int sequence, LimitHint.Entry entry, long nowMillis) {
        PeerSends before = peers.get(life);
        if (before != null && sequence - before.sequence() <= 0) {
            return false;
        }
        peers.put(life, new PeerSends(sequence, nowMillis, entry.sendsByAge()));
        peers.values().removeIf(p -> nowMillis - p.atMillis() > WINDOW_MILLIS);
        return entry.statement()
                .map(s -> adopt(new StatedLimit(
                        s.requestsPerSecond(),
                        nowMillis - s.requestedAgeMillis() - MAX_HINT_DELAY_MILLIS,
                        nowMillis - s.answeredAgeMillis())))
                .orElse(false);
    }

    /**
     * Records a request that this router sends to the replica.
     *
     * @param nowMillis the monotonic time
     */
    public void recordSend(long nowMillis) {
        ownSends.record(nowMillis);
        untold |= isLimited();
    }

    /**
     * Returns the statement that holds.
     *
     * @return the statement, {@link StatedLimit#NONE} before the first answer
     */
    public StatedLimit stated() {
        return stated;
    }

    /**
     * Returns whether the replica has a limit.
     *
     * @return true while the statement that holds is a limit
     */
    public boolean isLimited() {
        return stated.isLimit();
    }

    /**
     * Returns whether a request may be sent now.
     *
     * @param share the part of the limit that this router and those in contact with it may use
     * @param nowMillis the monotonic time
     * @return true if it is within the limit, or there is none
     */
    public boolean accepts(double share, long nowMillis) {
        if (!isLimited()) {
            return true;
        }
        double level = level(share, nowMillis, nowMillis);
        if (level >= capacity(share)) {
            // Those who booked a return did not come, so later callers need not wait for them.
            returnsBookedUntilMillis = Long.MIN_VALUE / 2;
        }
        return level >= ONE_REQUEST;
    }

    /**
     * Returns what {@link #accepts} would return, and releases no booked returns.
     *
     * @param share the part of the limit that this router and those in contact with it may use
     * @param nowMillis the monotonic time
     * @return true if a request is within the limit, or there is none
     */
    public boolean wouldAccept(double share, long nowMillis) {
        return !isLimited() || level(share, nowMillis, nowMillis) >= ONE_REQUEST;
    }

    /** Returns when the next request may be sent if none is sent before, in milliseconds from now. */
    private long waitMillis(double share, long nowMillis) {
        return LongStream.iterate(0, wait -> wait < WINDOW_MILLIS, wait -> wait + RecentSends.SLOT_MILLIS)
                .filter(wait -> level(share, nowMillis, nowMillis + wait) >= ONE_REQUEST)
                .findFirst()
                .orElse(WINDOW_MILLIS);
    }

    /**
     * Returns the level of the bucket at a time if nothing is sent until then.
     *
     * @param atMillis the time, not before the present
     */
    private double level(double share, long nowMillis, long atMillis) {
        double rate = stated.requestsPerSecond() * share;
        double capacity = capacity(share);
        long present = RecentSends.slot(nowMillis);
        double level = capacity;
        for (long slot = RecentSends.slot(atMillis) - RecentSends.SLOTS + 1; slot <= present; slot++) {
            long slotEnd = Math.min(atMillis, (slot + 1) * RecentSends.SLOT_MILLIS);
            double filled = rate * (slotEnd - slot * RecentSends.SLOT_MILLIS) / MILLIS_PER_SECOND;
            level = Math.min(capacity, level + filled) - sends(slot);
        }
        double rest = Math.max(0, atMillis - (present + 1) * RecentSends.SLOT_MILLIS) / MILLIS_PER_SECOND;
        return Math.min(capacity, level + rate * rest);
    }

    private double capacity(double share) {
        return Math.max(1, stated.requestsPerSecond() * share * BURST_SECONDS);
    }

    private int sends(long slot) {
        return ownSends.count(slot)
                + peers.values().stream().mapToInt(p -> p.count(slot)).sum();
    }

    /**
     * Books the time at which a caller that was refused may return. Callers return one after the other, as fast as this
     * router's part of the limit allows.
     *
     * @param share the part of the limit that this router and those in contact with it may use
     * @param nowMillis the monotonic time
     * @return the time in milliseconds from now
     */
    public long bookReturnMillis(double share, long nowMillis) {
        long returnAt = nextReturnMillis(share, nowMillis);
        double rate = Math.max(stated.requestsPerSecond() * share, MILLIS_PER_SECOND / WINDOW_MILLIS);
        double own = 1.0 + recentOwnSends(nowMillis);
        double part = own / (own + recentSends(nowMillis) - recentOwnSends(nowMillis));
        long interval = (long) Math.ceil(MILLIS_PER_SECOND / (rate * part));
        returnsBookedUntilMillis = Math.min(returnAt + interval, nowMillis + MAX_BOOKED_MILLIS);
        return Math.max(1, returnAt - nowMillis);
    }

    /**
     * Returns the time that would be booked next.
     *
     * @param share the part of the limit that this router and those in contact with it may use
     * @param nowMillis the monotonic time
     * @return the monotonic time
     */
    public long nextReturnMillis(double share, long nowMillis) {
        return Math.max(nowMillis + waitMillis(share, nowMillis), returnsBookedUntilMillis);
    }

    private int recentOwnSends(long nowMillis) {
        return ownSends.byAge(nowMillis).stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Returns how many requests all routers sent in the last seconds.
     *
     * @param nowMillis the monotonic time
     * @return the number as far as this router knows
     */
    public int recentSends(long nowMillis) {
        long present = RecentSends.slot(nowMillis);
        return IntStream.range(0, RecentSends.SLOTS)
                .map(age -> sends(present - age))
                .sum();
    }

    /**
     * Returns the age of the oldest of the last hints of other routers.
     *
     * @param nowMillis the monotonic time
     * @return the age in milliseconds, 0 if there are no hints
     */
    public long oldestHintMillis(long nowMillis) {
        return peers.values().stream()
                .mapToLong(p -> nowMillis - p.atMillis())
                .max()
                .orElse(0);
    }

    /**
     * Returns whether other routers do not know yet what this router sent, or which limit holds.
     *
     * @return true until {@link #takeEntry} is called
     */
    public boolean hasUntold() {
        return untold;
    }

    /**
     * Returns whether other routers have to know of this replica.
     *
     * @param nowMillis the monotonic time
     * @return true while it has a limit, and for a few seconds after
     */
    public boolean isRelevant(long nowMillis) {
        return isLimited() || nowMillis - stated.answeredMillis() < ENDED_RETENTION_MILLIS;
    }

    /**
     * Returns what other routers have to know of this replica. Only answers to this router are told, so that a
     * statement does not seem newer each time it is passed on.
     *
     * @param replica a hash of the name of the replica's run
     * @param nowMillis the monotonic time
     * @return the entry of the next hint
     */
    public LimitHint.Entry takeEntry(int replica, long nowMillis) {
        untold = false;
        Optional<LimitHint.Statement> statement = statedToOwn.equals(StatedLimit.NONE)
                ? Optional.empty()
                : Optional.of(LimitHint.Statement.of(statedToOwn, nowMillis));
        return new LimitHint.Entry(replica, statement, ownSends.byAge(nowMillis));
    }
}
