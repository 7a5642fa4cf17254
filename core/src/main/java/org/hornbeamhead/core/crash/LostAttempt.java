package org.hornbeamhead.core.crash;

/**
 * An attempt at a request that was lost when its replica crashed.
 *
 * @param request the request
 * @param sentAtMillis the monotonic time at which the request was sent to the replica, in milliseconds
 * @param lostAtMillis the monotonic time at which the router detected the loss of the replica, in milliseconds
 */
public record LostAttempt(RequestFingerprint request, long sentAtMillis, long lostAtMillis) {
    /** Creates an attempt; it must not be lost before it was sent. */
    public LostAttempt {
        if (lostAtMillis < sentAtMillis) {
            throw new IllegalArgumentException(
                    "attempt was lost " + (sentAtMillis - lostAtMillis) + " ms before it was sent");
        }
    }

    /**
     * Returns how long the request was at the replica.
     *
     * @return the duration in milliseconds
     */
    public long durationMillis() {
        return lostAtMillis - sentAtMillis;
    }
}
