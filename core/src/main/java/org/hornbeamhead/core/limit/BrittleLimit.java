package org.hornbeamhead.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Limits the requests in progress at one run of a replica that falls over when it has to turn away more requests in a
 * second than it states.
 *
 * <p>How many requests the replica lets wait is not known and may fall. The limit therefore begins with its slots; a
 * rejection lowers it by a part, and completed requests raise it slowly. The bound is on the rejections of all routers
 * together, so each tells the others of its rejections, and none sends more once half of the tolerated number is known.
 *
 * <p>Not thread-safe.
 */
public final class BrittleLimit {
    private static final long SECOND_MILLIS = 1_000;
    /** A statement holds this long if no answer ends it; answers repeat it while there are requests. */
    private static final long STATEMENT_LIFE_MILLIS = 10_000;
    /** What other routers told holds this long; they repeat it several times in that time. */
    private static final long TOLD_LIFE_MILLIS = 2_000;
    /** Part of the tolerated rejections that is used, since others may be under way. */
    private static final double USABLE_SHARE = 0.5;

    private static final double DECREASE_FACTOR = 0.8;
    /**
     * Up to this part of the limit a router may send one request beyond its own part. What others use is known a moment
     * late, so that several routers may do so at once.
     */
    private static final double LENT_PART = 0.5;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Deque<Long> ownRejections = new ArrayDeque<>();
    private final Map<Long, Told> toldByLife = new HashMap<>();
    private int tolerance;
    private long statedAtMillis = NEVER;
    private long toldAtMillis = NEVER;
    private long lastRejectionMillis = NEVER;
    private double limit = Double.MAX_VALUE;

    private record Told(int sequence, int rejections, long atMillis) {}

    /**
     * Records that an answer to this router states how many rejections the replica bears.
     *
     * @param rejectionsPerSecond the number
     * @param nowMillis the monotonic time
     * @return whether the replica did not count as brittle before
     */
    public boolean recordStatement(int rejectionsPerSecond, long nowMillis) {
        boolean first = !isBrittle(nowMillis);
        tolerance = rejectionsPerSecond;
        statedAtMillis = nowMillis;
        return first;
    }

    /**
     * Records an answer that states nothing.
     *
     * @param requestedMillis when its request was sent, on the monotonic clock; an answer to a request from before the
     *     last statement ends nothing
     * @return whether it ends the statement
     */
    public boolean recordSilence(long requestedMillis) {
        if (requestedMillis <= Math.max(statedAtMillis, toldAtMillis)) {
            return false;
        }
        boolean ends = statedAtMillis != NEVER || toldAtMillis != NEVER;
        statedAtMillis = NEVER;
        toldAtMillis = NEVER;
        limit = Double.MAX_VALUE;
        return ends;
    }

    /**
     * Processes what another router told.
     *
     * @param life identifies the run of the other router
     * @param sequence the number of the hint in that run; older hints are ignored
     * @param entry what it told of this replica
     * @param nowMillis the monotonic time
     */
    public void merge(long life, int sequence, BrittleHint.Entry entry, long nowMillis) {
        toldByLife.values().removeIf(t -> nowMillis - t.atMillis() > TOLD_LIFE_MILLIS);
        Told before = toldByLife.get(life);
        if (before != null && sequence - before.sequence() <= 0) {
            return;
        }
        int earlier = before == null ? 0 : before.rejections();
        toldByLife.put(life, new Told(sequence, entry.rejections(), nowMillis));
        if (!isBrittle(nowMillis)) {
            tolerance = entry.tolerance();
        }
        toldAtMillis = nowMillis;
        if (entry.rejections() > earlier) {
            lastRejectionMillis = nowMillis;
            decrease();
        }
    }

    /**
     * Records that the replica turned a request of this router away.
     *
     * @param nowMillis the monotonic time
     */
    public void recordRejection(long nowMillis) {
        ownRejections.addLast(nowMillis);
        lastRejectionMillis = nowMillis;
        decrease();
    }

    private void decrease() {
        limit = Math.max(1, limit * DECREASE_FACTOR);
    }

    /** Records that the replica ran a request of this router to its end. */
    public void recordCompletion() {
        limit += 1 / limit;
    }

    /**
     * Returns whether the replica is brittle.
     *
     * @param nowMillis the monotonic time
     * @return true if an answer to this router, or a hint of another one, said so lately
     */
    public boolean isBrittle(long nowMillis) {
        return isStatedToOwn(nowMillis) || nowMillis - toldAtMillis < TOLD_LIFE_MILLIS;
    }

    /**
     * Returns whether an answer to this router said that the replica is brittle.
     *
     * @param nowMillis the monotonic time
     * @return true while the statement holds
     */
    public boolean isStatedToOwn(long nowMillis) {
        return nowMillis - statedAtMillis < STATEMENT_LIFE_MILLIS;
    }

    /**
     * Takes the replica for brittle because others of its service are.
     *
     * @param rejectionsPerSecond the rejections that those bear
     * @param nowMillis the monotonic time
     */
    public void presume(int rejectionsPerSecond, long nowMillis) {
        tolerance = rejectionsPerSecond;
        toldAtMillis = nowMillis;
    }

    /**
     * Returns whether the replica ever counted as brittle and has not ended that since.
     *
     * @return false as long as there is no need to look at the clock
     */
    public boolean wasEverBrittle() {
        return statedAtMillis != NEVER || toldAtMillis != NEVER;
    }

    /**
     * Returns whether the replica turned requests away since a time.
     *
     * @param sinceMillis the monotonic time
     * @return true if this router or another one was rejected
     */
    public boolean hasRejectedSince(long sinceMillis) {
        return lastRejectionMillis >= sinceMillis;
    }

    /**
     * Returns whether one more request may be sent.
     *
     * @param own the requests of this router in progress at the replica
     * @param total the requests of all routers in progress there, as far as known
     * @param slots the requests that the replica runs at the same time
     * @param share this router's part of limits for all routers, above 0 and at most 1
     * @param nowMillis the monotonic time
     * @return true if it finds room, or the replica is not brittle
     */
    public boolean accepts(int own, int total, int slots, double share, long nowMillis) {
        if (!isBrittle(nowMillis)) {
            return true;
        }
        limit = Math.min(limit, slots);
        return hasRoom(own, total, limit, share, tolerance, nowMillis);
    }

    /**
     * Returns what {@link #accepts} would return, and changes nothing.
     *
     * @param own the requests of this router in progress at the replica
     * @param total the requests of all routers in progress there, as far as known
     * @param slots the requests that the replica runs at the same time
     * @param share this router's part of limits for all routers, above 0 and at most 1
     * @param presumed the rejections that other replicas of the service bear; empty if they are not brittle
     * @param nowMillis the monotonic time
     * @return true if one more request finds room, or the replica is not brittle
     */
    public boolean wouldAccept(int own, int total, int slots, double share, OptionalInt presumed, long nowMillis) {
        boolean brittle = isBrittle(nowMillis);
        return (!brittle && presumed.isEmpty())
                || hasRoom(
                        own,
                        total,
                        Math.min(limit, slots),
                        share,
                        brittle ? tolerance : presumed.getAsInt(),
                        nowMillis);
    }

    private boolean hasRoom(int own, int total, double bound, double share, int rejections, long nowMillis) {
        double part = Math.max(1, Math.floor(bound * share));
        return knownRejections(nowMillis) < Math.max(1, rejections * USABLE_SHARE)
                && total < Math.floor(bound)
                && (own < part || (own == part && total < bound * LENT_PART));
    }

    /**
     * Returns the rejections of the last second.
     *
     * @param nowMillis the monotonic time
     * @return the rejections of all routers, as far as known
     */
    public int knownRejections(long nowMillis) {
        return ownRejections(nowMillis)
                + toldByLife.values().stream()
                        .filter(t -> nowMillis - t.atMillis() < SECOND_MILLIS)
                        .mapToInt(Told::rejections)
                        .sum();
    }

    private int ownRejections(long nowMillis) {
        while (!ownRejections.isEmpty() && nowMillis - ownRejections.peekFirst() >= SECOND_MILLIS) {
            ownRejections.removeFirst();
        }
        return ownRejections.size();
    }

    /**
     * Returns what other routers have to know of this replica.
     *
     * @param replica a hash of the name of the replica's run
     * @param nowMillis the monotonic time
     * @return the entry of the next hint
     */
    public BrittleHint.Entry entry(int replica, long nowMillis) {
        return new BrittleHint.Entry(replica, tolerance, ownRejections(nowMillis));
    }
}
