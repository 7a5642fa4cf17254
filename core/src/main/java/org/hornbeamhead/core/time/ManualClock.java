package org.hornbeamhead.core.time;

/** A clock that advances only on request, for tests and simulations of embedding programs. */
public final class ManualClock implements Clock {
    private long monotonic;
    private long wallOffset;

    /**
     * Creates a clock at monotonic time zero.
     *
     * @param wallMillis the wall time at monotonic time zero, in milliseconds since the Unix epoch
     */
    public ManualClock(long wallMillis) {
        this.wallOffset = wallMillis;
    }

    /**
     * Advances both clocks.
     *
     * @param millis the time to advance by, in milliseconds; not negative
     */
    public void advance(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("a monotonic clock cannot go back by " + millis + " ms");
        }
        monotonic += millis;
    }

    /**
     * Adjusts only the wall clock, as a time synchronization service would.
     *
     * @param millis the adjustment in milliseconds; may be negative
     */
    public void skewWall(long millis) {
        wallOffset += millis;
    }

    @Override
    public long monotonicMillis() {
        return monotonic;
    }

    @Override
    public long wallMillis() {
        return wallOffset + monotonic;
    }
}
