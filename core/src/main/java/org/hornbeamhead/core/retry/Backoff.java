package org.hornbeamhead.core.retry;

import java.util.random.RandomGenerator;

/**
 * Delays that grow with each failure and are spread at random, so that a herd does not return as one.
 *
 * @param firstMillis the longest first delay, in milliseconds
 * @param maxMillis the longest delay, in milliseconds
 */
public record Backoff(long firstMillis, long maxMillis) {
    private static final int MAX_DOUBLINGS = 20;

    /** Checks the limits. */
    public Backoff {
        if (firstMillis <= 0 || maxMillis < firstMillis) {
            throw new IllegalArgumentException("need 0 < first <= max, got " + firstMillis + " and " + maxMillis);
        }
    }

    /**
     * Draws a delay between half of the present limit and the limit.
     *
     * @param failures how many failures came before; 0 for the first delay
     * @param random the source of randomness
     * @return milliseconds
     */
    public long delayMillis(int failures, RandomGenerator random) {
        long limit = Math.min(maxMillis, firstMillis << Math.min(failures, MAX_DOUBLINGS));
        return limit / 2 + random.nextLong(limit / 2 + 1);
    }
}
