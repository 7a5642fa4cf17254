package org.hornbeamhead.core.retry;

/**
 * Leaves a failing replica out for a while. Failures in a row eject it; each ejection without a success in between
 * lasts twice as long, up to a limit.
 *
 * <p>Failure: a dead replica goes on being chosen until the lagging host list drops it. Symptom: a share of all first
 * tries fails. The count of failures in a row needs no clock and no rate, and one success forgives.
 */
public final class OutlierGuard {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_MILLIS = 1_000;
    private static final int MAX_DOUBLINGS = 5;

    private int failuresInRow;
    private int ejections;
    private long ejectedUntilMillis = Long.MIN_VALUE / 2;

    /** Notes a whole answer. */
    public void succeeded() {
        failuresInRow = 0;
        ejections = 0;
    }

    /**
     * Notes a failure that the replica is to blame for.
     *
     * @param nowMillis the monotonic time
     */
    public void failed(long nowMillis) {
        failuresInRow++;
        if (failuresInRow >= FAILURES_TO_EJECT && !ejected(nowMillis)) {
            eject(nowMillis);
        }
    }

    /**
     * Notes that no connection could be opened, which is proof enough for an ejection at once.
     *
     * @param nowMillis the monotonic time
     */
    public void unreachable(long nowMillis) {
        failuresInRow++;
        if (!ejected(nowMillis)) {
            eject(nowMillis);
        }
    }

    private void eject(long nowMillis) {
        ejectedUntilMillis = nowMillis + (FIRST_EJECTION_MILLIS << Math.min(ejections, MAX_DOUBLINGS));
        ejections++;
        failuresInRow = FAILURES_TO_EJECT - 1;
    }

    /**
     * Tells whether the replica is left out.
     *
     * @param nowMillis the monotonic time
     * @return true while ejected
     */
    public boolean ejected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    /**
     * Tells since when the replica is back, so that its share can grow from there.
     *
     * @return the monotonic time of the last ejection's end, far in the past when there was none
     */
    public long returnedAtMillis() {
        return ejections == 0 ? Long.MIN_VALUE / 2 : ejectedUntilMillis;
    }
}
