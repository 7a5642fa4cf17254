package org.hornbeamhead.core.time;

/**
 * A monotonic clock and a wall clock. A daemon uses the machine's clocks; a test or a simulation supplies its own.
 *
 * <p>Durations are measured on the monotonic clock only. The wall clock is for comparison with timestamps written by
 * other processes, such as the issue time inside an id.
 */
public interface Clock {
    /**
     * Returns the time of the monotonic clock.
     *
     * @return milliseconds since an arbitrary start, never decreasing
     */
    long monotonicMillis();

    /**
     * Returns the time of the wall clock.
     *
     * @return milliseconds since the Unix epoch, which may jump
     */
    long wallMillis();
}
