package org.hornbeamhead.gateway.dispatch;

import org.hornbeamhead.core.forward.ServedTimes;

/** Timings of the events relayed to one caller. */
final class StreamTimings {
    private long firstMillis = -1;
    private long lastAt = -1;
    private long longestPauseMillis;

    /** Records the time from the arrival of the request to the first bytes sent to the caller. */
    void recordFirst(long millis) {
        firstMillis = millis;
    }

    /** Records that events were relayed, and updates the longest pause between events. */
    void recordEvents(long nowMillis) {
        if (lastAt >= 0) {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastAt);
        }
        lastAt = nowMillis;
    }

    /** Returns the times of a response that is complete. */
    ServedTimes times(long totalMillis) {
        return new ServedTimes(firstMillis, longestPauseMillis, totalMillis);
    }

    @Override
    public String toString() {
        return " firstMillis=" + firstMillis + " pauseMillis=" + longestPauseMillis;
    }
}
