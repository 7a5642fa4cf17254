package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import java.util.function.LongConsumer;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;

/**
 * Notices that the machine stood still: the monotonic clock does not count such time, the wall clock does.
 *
 * <p>A wall clock that is set forward looks the same, so whoever is told may only become more careful for a moment.
 */
public final class SuspensionDetector {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How often the clocks are compared; far below the time for which a machine that stood still is not relied on. */
    private static final long CHECK_INTERVAL_MILLIS = 250;
    /** Less than this is no harm: margins of time bounds are of this size. */
    private static final long MIN_REPORTED_MILLIS = 200;

    private final Timers timers;
    private final Clock clock;
    private final LongConsumer onSuspended;
    private long lastOffsetMillis;

    /**
     * Makes a watch that does not look yet.
     *
     * @param timers the thread's timers
     * @param clock the clock
     * @param stoodStill told how long the machine stood still, in milliseconds
     */
    public SuspensionDetector(Timers timers, Clock clock, LongConsumer stoodStill) {
        this.timers = timers;
        this.clock = clock;
        this.onSuspended = stoodStill;
        this.lastOffsetMillis = wallClockOffsetMillis();
    }

    /** Starts to compare the clocks. */
    public void start() {
        timers.schedule(CHECK_INTERVAL_MILLIS, this::tick);
    }

    private void tick() {
        check();
        timers.schedule(CHECK_INTERVAL_MILLIS, this::tick);
    }

    /**
     * Compares the clocks now. Whoever counts a time, or tells one to another process, looks before: else what it says
     * just after a suspension is too young by as much, and lasts where it is believed.
     */
    public void check() {
        long now = wallClockOffsetMillis();
        long still = now - lastOffsetMillis;
        lastOffsetMillis = now;
        if (still > MIN_REPORTED_MILLIS) {
            logger.atWarning()
                    .with(Logs.DECISION, "stood still")
                    .with(Logs.INPUTS, "millis=" + still)
                    .log("the machine stood still, or its wall clock was set forward");
            onSuspended.accept(still);
        }
    }

    private long wallClockOffsetMillis() {
        return clock.wallMillis() - clock.monotonicMillis();
    }
}
