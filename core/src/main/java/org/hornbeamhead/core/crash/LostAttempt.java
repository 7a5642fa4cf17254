package org.hornbeamhead.core.crash;

import java.util.OptionalLong;

/**
 * An attempt at a request that was lost when its replica crashed.
 *
 * @param request the request
 * @param sentAtMillis the monotonic time at which the request was sent to the replica, in milliseconds
 * @param startedAtMillis the monotonic time at which the replica's answer began, in milliseconds; empty if it had not
 * @param lostAtMillis the monotonic time at which the router detected the loss of the replica, in milliseconds
 */
public record LostAttempt(
        RequestFingerprint request, long sentAtMillis, OptionalLong startedAtMillis, long lostAtMillis) {
    /**
     * A request that crashes replicas does so as the replica begins to answer, which may be shortly after the first
     * events, or after the whole of a short answer. A replica that still runs after this time has survived the request.
     */
    public static final long SURVIVAL_MILLIS = 500;

    /** Creates an attempt; it must not be lost before it was sent. */
    public LostAttempt {
        if (lostAtMillis < sentAtMillis) {
            throw new IllegalArgumentException(
                    "attempt was lost " + (sentAtMillis - lostAtMillis) + " ms before it was sent");
        }
    }

    /**
     * Creates an attempt whose answer is not known to have begun.
     *
     * @param request the request
     * @param sentAtMillis the monotonic time at which the request was sent to the replica, in milliseconds
     * @param lostAtMillis the monotonic time at which the router detected the loss of the replica, in milliseconds
     */
    public LostAttempt(RequestFingerprint request, long sentAtMillis, long lostAtMillis) {
        this(request, sentAtMillis, OptionalLong.empty(), lostAtMillis);
    }

    /**
     * Returns how long the request was at the replica.
     *
     * @return the duration in milliseconds
     */
    public long durationMillis() {
        return lostAtMillis - sentAtMillis;
    }

    /**
     * Returns whether the replica had survived the request before it crashed.
     *
     * @return true if it had been answering for a while
     */
    public boolean wasSurvived() {
        return startedAtMillis.isPresent() && lostAtMillis - startedAtMillis.getAsLong() >= SURVIVAL_MILLIS;
    }
}
