package org.hornbeamhead.core.retry;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter, which keeps many clients from retrying at the same time.
 *
 * @param firstMillis the upper bound of the first delay, in milliseconds
 * @param maxMillis the upper bound of all delays, in milliseconds
 */
public record Backoff(long firstMillis, long maxMillis) {
    private static final int MAX_DOUBLINGS = 20;

    /** Creates a backoff with limits {@code 0 < firstMillis <= maxMillis}. */
    public Backoff {
        if (firstMillis <= 0 || maxMillis < firstMillis) {
            throw new IllegalArgumentException(
                    "backoff requires 0 < firstMillis <= maxMillis, got " + firstMillis + " and " + maxMillis);
        }
    }

    /**
     * Returns a random delay between half of the current limit and the limit.
     *
     * @param failures the number of earlier failures, 0 for the first delay
     * @param random the source of randomness
     * @return the delay in milliseconds
     */
    public long delayMillis(int failures, RandomGenerator random) {
        long limit = Math.min(maxMillis, firstMillis << Math.min(failures, MAX_DOUBLINGS));
        return limit / 2 + random.nextLong(limit / 2 + 1);
    }
}
