package org.hornbeamhead.core.time;

/**
 * The two clocks that decisions read. A daemon passes the machine's, a test or a simulation passes its own.
 *
 * <p>Durations are measured on the monotonic clock only. The wall clock serves to read times that others wrote, such as
 * the issue time inside an id.
 */
public interface Clock {
    /**
     * Reads the monotonic clock.
     *
     * @return milliseconds since an arbitrary start, never falling
     */
    long monotonicMillis();

    /**
     * Reads the wall clock.
     *
     * @return milliseconds since the Unix epoch, which may jump
     */
    long wallMillis();
}
