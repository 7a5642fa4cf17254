package org.hornbeamhead.core.shortage;

/** A rate over the recent past, in which older amounts count less. Owned by one thread. */
final class RecentRate {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final double memoryMillis;
    private double amount;
    private long updatedAt;

    /**
     * Creates a rate of zero.
     *
     * @param memoryMillis the time after which an amount counts 1/e, in milliseconds
     */
    RecentRate(double memoryMillis) {
        this.memoryMillis = memoryMillis;
    }

    void add(double added, long nowMillis) {
        amount = amount(nowMillis) + added;
        updatedAt = Math.max(updatedAt, nowMillis);
    }

    /** Returns the sum of the recent amounts. */
    double amount(long nowMillis) {
        return amount * Math.exp(-Math.max(0, nowMillis - updatedAt) / memoryMillis);
    }

    double perSecond(long nowMillis) {
        return amount(nowMillis) / memoryMillis * MILLIS_PER_SECOND;
    }
}
