package org.hornbeamhead.core.availability;

/**
 * What one run of a replica has said so far. Leaving lasts as long as the run; a back-off ends by itself.
 *
 * <p>Not thread-safe.
 */
public final class NoticeState {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private boolean leaving;
    private long backOffUntilMillis = NEVER;

    /**
     * Records that the replica is leaving.
     *
     * @return whether this is the first time
     */
    public boolean recordLeaving() {
        boolean first = !leaving;
        leaving = true;
        return first;
    }

    /**
     * Records that the replica asked this router to back off. The latest end holds, since answers may overtake one
     * another.
     *
     * @param millis how long from now
     * @param nowMillis the monotonic time
     * @return whether the end is later than before
     */
    public boolean recordBackOff(long millis, long nowMillis) {
        long until = nowMillis + millis;
        boolean later = until > backOffUntilMillis;
        backOffUntilMillis = Math.max(backOffUntilMillis, until);
        return later;
    }

    /**
     * Returns whether the replica is leaving.
     *
     * @return true from the first answer that says so
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns whether the replica wants no requests from this router.
     *
     * @param nowMillis the monotonic time
     * @return true until the end of the back-off
     */
    public boolean isBackingOff(long nowMillis) {
        return nowMillis < backOffUntilMillis;
    }

    /**
     * Returns whether the replica ever asked this router to back off.
     *
     * @return false as long as there is no need to look at the clock
     */
    public boolean hasAskedToBackOff() {
        return backOffUntilMillis != NEVER;
    }

    /**
     * Returns whether anything that the replica said still holds.
     *
     * @param nowMillis the monotonic time
     * @return true if it is leaving or wants no requests from this router
     */
    public boolean isRelevant(long nowMillis) {
        return leaving || isBackingOff(nowMillis);
    }

    /**
     * Returns when the back-off ends.
     *
     * @return the monotonic time, far in the past if there was none
     */
    public long backOffUntilMillis() {
        return backOffUntilMillis;
    }
}
