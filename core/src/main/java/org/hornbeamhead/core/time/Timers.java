package org.hornbeamhead.core.time;

/** Runs actions later. A daemon passes its reactor's timers, a simulation passes its event queue. */
@FunctionalInterface
public interface Timers {
    /**
     * Runs an action once, after a delay, on the thread that owns the caller's state.
     *
     * @param delayMillis the delay in milliseconds; zero means as soon as possible
     * @param action what to run
     */
    void schedule(long delayMillis, Runnable action);
}
