package org.hornbeamhead.core.time;

/** Schedules actions. A daemon uses its reactor's timers; a simulation uses its event queue. */
@FunctionalInterface
public interface Timers {
    /**
     * Runs an action once, after a delay, on the thread that owns the caller's state.
     *
     * @param delayMillis the delay in milliseconds; zero means as soon as possible
     * @param action the action to run
     */
    void schedule(long delayMillis, Runnable action);
}
