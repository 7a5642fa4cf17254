package org.hornbeamhead.core.retry;

/**
 * Ejects a failing replica for a limited time. Consecutive failures eject it; each further ejection without a success
 * in between lasts twice as long, up to a limit.
 *
 * <p>Without ejection a dead replica is chosen until the delayed host list drops it, and a share of all first attempts
 * fails. Counting consecutive failures needs neither a clock nor a rate, and one success resets the count.
 */
public final class OutlierDetector {
    private static final int EJECTION_THRESHOLD = 3;
    private static final long FIRST_EJECTION_MILLIS = 1_000;
    private static final int MAX_DOUBLINGS = 5;

    private int consecutiveFailures;
    private int ejections;
    private long ejectedUntilMillis = Long.MIN_VALUE / 2;

    /** Records a complete response. */
    public void recordSuccess() {
        consecutiveFailures = 0;
        ejections = 0;
    }

    /**
     * Records a failure caused by the replica.
     *
     * @param nowMillis the monotonic time
     */
    public void recordFailure(long nowMillis) {
        consecutiveFailures++;
        if (consecutiveFailures >= EJECTION_THRESHOLD && !isEjected(nowMillis)) {
            eject(nowMillis);
        }
    }

    /**
     * Records that no connection could be opened, which ejects the replica immediately.
     *
     * @param nowMillis the monotonic time
     */
    public void recordConnectFailure(long nowMillis) {
        consecutiveFailures++;
        if (!isEjected(nowMillis)) {
            eject(nowMillis);
        }
    }

    private void eject(long nowMillis) {
        ejectedUntilMillis = nowMillis + (FIRST_EJECTION_MILLIS << Math.min(ejections, MAX_DOUBLINGS));
        ejections++;
        consecutiveFailures = EJECTION_THRESHOLD - 1;
    }

    /**
     * Returns whether the replica is ejected.
     *
     * @param nowMillis the monotonic time
     * @return true while the replica is ejected
     */
    public boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    /**
     * Returns when the last ejection ends, from which the replica's share of requests can be ramped up.
     *
     * @return the monotonic time, far in the past if there was no ejection since the last success
     */
    public long ejectionEndMillis() {
        return ejections == 0 ? Long.MIN_VALUE / 2 : ejectedUntilMillis;
    }
}
