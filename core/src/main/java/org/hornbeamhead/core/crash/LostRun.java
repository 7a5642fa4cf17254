package org.hornbeamhead.core.crash;

/**
 * A run of a request that ended with its replica.
 *
 * @param request the request
 * @param sentAt when it was sent to the replica, in milliseconds of the monotonic clock
 * @param lostAt when the router noticed that the replica no longer answers, in milliseconds of the same clock
 */
public record LostRun(RequestFingerprint request, long sentAt, long lostAt) {
    /** Checks the times. */
    public LostRun {
        if (lostAt < sentAt) {
            throw new IllegalArgumentException("lost " + (sentAt - lostAt) + " ms before it was sent");
        }
    }

    /**
     * Tells how long the request was at the replica.
     *
     * @return the time in milliseconds
     */
    public long millis() {
        return lostAt - sentAt;
    }
}
