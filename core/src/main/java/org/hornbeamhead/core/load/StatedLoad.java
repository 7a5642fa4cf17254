package org.hornbeamhead.core.load;

import java.util.Optional;

/**
 * The newest load statement of one run of a replica, received in a response or from another router.
 *
 * <p>Owned by one thread.
 */
public final class StatedLoad {
    /** Machines change their pace about every 600 ms; after this time a statement says nothing of it any more. */
    static final long PACE_LIFE_MILLIS = 1_000;
    /** Plain requests take 20 to 50 ms, so that an older number of requests has little to do with the present one. */
    static final long REQUESTS_LIFE_MILLIS = 300;
    /** A replica is avoided from a pace above this; a lower one costs less than an additional request there. */
    static final double SLOW_PACE = 1.3;
    /**
     * A slow replica is avoided until its pace is at most this. If both limits were the same, all routers would avoid
     * and prefer a replica near the limit in turn.
     */
    static final double USUAL_PACE = 1.15;

    private Optional<LoadStatement> newest = Optional.empty();
    private long requestedMillis;
    private long answeredMillis;
    private boolean slow;

    /**
     * Records a statement unless a newer one is known. The response to a later request is newer: responses may be
     * delayed on their way.
     *
     * @param statement the statement
     * @param requestedAtMillis when the request was sent, on the monotonic clock
     * @param answeredAtMillis when the response arrived
     * @return whether the statement is now the newest
     */
    public boolean observe(LoadStatement statement, long requestedAtMillis, long answeredAtMillis) {
        if (newest.isPresent() && requestedAtMillis < requestedMillis) {
            return false;
        }
        slow = statement.pace() > (isSlow(answeredAtMillis) ? USUAL_PACE : SLOW_PACE);
        newest = Optional.of(statement);
        requestedMillis = requestedAtMillis;
        answeredMillis = answeredAtMillis;
        return true;
    }

    /**
     * Returns the factor by which work takes longer than usual.
     *
     * @param nowMillis the monotonic time
     * @return the factor, which decays to 1; 1 unless the replica is slow
     */
    public double pace(long nowMillis) {
        return isSlow(nowMillis) ? decayedPace(nowMillis) : 1;
    }

    /**
     * Returns whether the replica counts as slow.
     *
     * @param nowMillis the monotonic time
     * @return true from a statement above the upper limit until the decayed pace is at the lower one
     */
    public boolean isSlow(long nowMillis) {
        return slow && decayedPace(nowMillis) > USUAL_PACE;
    }

    private double decayedPace(long nowMillis) {
        double remaining = Math.max(0, 1 - (double) age(nowMillis) / PACE_LIFE_MILLIS);
        return newest.map(s -> 1 + (s.pace() - 1) * remaining).orElse(1.0);
    }

    /**
     * Returns the stated number of requests at the replica.
     *
     * @param nowMillis the monotonic time
     * @return those that run and wait; 0 if the replica states no pace, or if the statement is too old
     */
    public int requests(long nowMillis) {
        return newest.filter(s -> s.hasPace() && age(nowMillis) < REQUESTS_LIFE_MILLIS)
                .map(LoadStatement::requests)
                .orElse(0);
    }

    private long age(long nowMillis) {
        return Math.max(0, nowMillis - answeredMillis);
    }
}
