package org.hornbeamhead.gateway.state;

import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;

/**
 * Detects that this thread stood still, as it does while a cold process loads its classes on a small share of a
 * processor, or while its machine is frozen. What arrived meanwhile may be out of date.
 */
public final class StallDetector {
    private static final long CHECK_INTERVAL_MILLIS = 50;
    /** A thread that is this late for a check has stalled. */
    private static final long MIN_STALL_MILLIS = 100;
    /** Time after a stall in which messages that arrived during it may still be unread. */
    private static final long BACKLOG_MILLIS = 1_000;

    private final Clock clock;
    private final Timers timers;
    private long lastCheckMillis;
    private long backlogUntilMillis;
    private long stallStartMillis;

    /**
     * Creates a detector that is not started yet. A process that has just started counts as stalled.
     *
     * @param clock the clock
     * @param timers the timers
     */
    public StallDetector(Clock clock, Timers timers) {
        this.clock = clock;
        this.timers = timers;
        this.lastCheckMillis = clock.monotonicMillis();
        this.backlogUntilMillis = lastCheckMillis + BACKLOG_MILLIS;
        this.stallStartMillis = Long.MAX_VALUE;
    }

    /** Starts to check. */
    public void start() {
        check();
    }

    private void check() {
        long now = clock.monotonicMillis();
        if (isLate(now)) {
            stallStartMillis = lastCheckMillis;
            backlogUntilMillis = now + BACKLOG_MILLIS;
        }
        lastCheckMillis = now;
        timers.schedule(CHECK_INTERVAL_MILLIS, this::check);
    }

    private boolean isLate(long now) {
        return now - lastCheckMillis > CHECK_INTERVAL_MILLIS + MIN_STALL_MILLIS;
    }

    /**
     * Returns whether messages that arrived during a stall may still be unread.
     *
     * @return true during a stall and for a while after it
     */
    public boolean mayHaveBacklog() {
        long now = clock.monotonicMillis();
        return now < backlogUntilMillis || isLate(now);
    }

    /**
     * Returns the latest time before which no message can have arrived that is read now.
     *
     * @return the present, or the time at which a stall began after which messages may still be unread
     */
    public long earliestArrivalMillis() {
        long now = clock.monotonicMillis();
        if (isLate(now)) {
            return lastCheckMillis;
        }
        return now < backlogUntilMillis ? Math.min(now, stallStartMillis) : now;
    }
}
