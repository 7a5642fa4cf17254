package org.hornbeamhead.core.limit;

/**
 * What one answer of a replica stated of the requests that the replica takes from all routers together.
 *
 * @param requestsPerSecond the limit; infinite if the answer stated none
 * @param requestedMillis when the request was sent, on the monotonic clock; the statement is not older
 * @param answeredMillis when the answer arrived; the statement is not newer
 */
public record StatedLimit(double requestsPerSecond, long requestedMillis, long answeredMillis) {
    /** What is known of a replica that has not answered yet. */
    public static final StatedLimit NONE =
            new StatedLimit(Double.POSITIVE_INFINITY, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    /** Checks that the limit is a number that is not negative. */
    public StatedLimit {
        if (!(requestsPerSecond >= 0)) {
            throw new IllegalArgumentException("invalid limit: " + requestsPerSecond + " a second");
        }
    }

    /** Returns whether there is a limit. */
    public boolean isLimit() {
        return requestsPerSecond < Double.POSITIVE_INFINITY;
    }

    /**
     * Returns which of two statements of a replica holds. Answers may overtake one another, so the later statement is
     * known only if its request was sent after the other one had arrived. Otherwise, the lower limit holds.
     *
     * @param other another statement
     * @return the statement that holds
     */
    public StatedLimit latest(StatedLimit other) {
        if (other.requestedMillis >= answeredMillis) {
            return other;
        }
        if (requestedMillis >= other.answeredMillis) {
            return this;
        }
        int order = Double.compare(requestsPerSecond, other.requestsPerSecond);
        boolean isLatest = order < 0 || (order == 0 && answeredMillis >= other.answeredMillis);
        return isLatest ? this : other;
    }
}
