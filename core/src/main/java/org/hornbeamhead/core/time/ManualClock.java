package org.hornbeamhead.core.time;

/** A clock that moves only when told to, for tests and simulations of embedding programs. */
public final class ManualClock implements Clock {
    private long monotonic;
    private long wallOffset;

    /**
     * Starts the clock.
     *
     * @param wallMillis the wall time at monotonic time zero, in milliseconds since the Unix epoch
     */
    public ManualClock(long wallMillis) {
        this.wallOffset = wallMillis;
    }

    /**
     * Moves both clocks forward.
     *
     * @param millis how far, in milliseconds; not negative
     */
    public void advance(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("a monotonic clock cannot go back by " + millis + " ms");
        }
        monotonic += millis;
    }

    /**
     * Moves only the wall clock, as a time service's correction would.
     *
     * @param millis how far, in milliseconds; may be negative
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
