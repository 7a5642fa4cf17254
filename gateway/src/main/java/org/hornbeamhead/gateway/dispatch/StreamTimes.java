package org.hornbeamhead.gateway.dispatch;

/** When the events of one request went to its caller, for the log. */
final class StreamTimes {
    private long firstMillis = -1;
    private long lastAt = -1;
    private long longestPauseMillis;

    /** The answer's first bytes go to the caller, so long after the request came. */
    void began(long millis) {
        firstMillis = millis;
    }

    /** Events go to the caller: notes how long it waited for them since those before. */
    void relayed(long nowMillis) {
        if (lastAt >= 0) {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastAt);
        }
        lastAt = nowMillis;
    }

    @Override
    public String toString() {
        return " firstMillis=" + firstMillis + " pauseMillis=" + longestPauseMillis;
    }
}
