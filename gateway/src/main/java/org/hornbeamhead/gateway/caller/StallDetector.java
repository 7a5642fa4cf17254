package org.hornbeamhead.gateway.caller;

import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/**
 * Detects that this thread stood still, as it does while a cold process loads its classes on a small share of a
 * processor. What arrived meanwhile may be out of date.
 */
final class StallDetector {
    private static final long CHECK_INTERVAL_MILLIS = 50;
    /** A thread that is this late for a check has stalled. */
    private static final long MIN_STALL_MILLIS = 100;
    /** Time after a stall in which messages that arrived during it may still be unread. */
    private static final long BACKLOG_MILLIS = 1_000;

    private final Clock clock;
    private final Timers timers;
    private long lastCheckMillis;
    private long backlogUntilMillis;

    StallDetector(Clock clock, Timers timers) {
        this.clock = clock;
        this.timers = timers;
        this.lastCheckMillis = clock.monotonicMillis();
        this.backlogUntilMillis = lastCheckMillis + BACKLOG_MILLIS;
    }

    void start() {
        check();
    }

    private void check() {
        long now = clock.monotonicMillis();
        if (isLate(now)) {
            backlogUntilMillis = now + BACKLOG_MILLIS;
        }
        lastCheckMillis = now;
        timers.schedule(CHECK_INTERVAL_MILLIS, this::check);
    }

    private boolean isLate(long now) {
        return now - lastCheckMillis > CHECK_INTERVAL_MILLIS + MIN_STALL_MILLIS;
    }

    /** Returns whether messages that arrived during a stall may still be unread. */
    boolean mayHaveBacklog() {
        long now = clock.monotonicMillis();
        return now < backlogUntilMillis || isLate(now);
    }
}
