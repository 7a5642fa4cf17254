package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import java.util.function.LongConsumer;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;

/**
 * Detects that the machine was suspended: the monotonic clock does not count such time, the wall clock does.
 *
 * <p>A wall clock that is set forward looks the same, so a listener may only respond by becoming more cautious for a
 * moment.
 */
public final class SuspensionDetector {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * Interval between comparisons of the clocks; far below the time after which a suspended machine is no longer
     * relied on.
     */
    private static final long CHECK_INTERVAL_MILLIS = 250;
    /**
     * Minimum suspension that is reported. Shorter ones are harmless, because the margins of time bounds are of this
     * size.
     */
    private static final long MIN_REPORTED_MILLIS = 200;

    private final Timers timers;
    private final Clock clock;
    private final LongConsumer onSuspended;
    private long lastOffsetMillis;

    /**
     * Creates a detector that is not started yet.
     *
     * @param timers the timers of this thread
     * @param clock the clock
     * @param onSuspended receives the length of each suspension, in milliseconds
     */
    public SuspensionDetector(Timers timers, Clock clock, LongConsumer onSuspended) {
        this.timers = timers;
        this.clock = clock;
        this.onSuspended = onSuspended;
        this.lastOffsetMillis = wallClockOffsetMillis();
    }

    /** Starts to compare the clocks periodically. */
    public void start() {
        timers.schedule(CHECK_INTERVAL_MILLIS, this::tick);
    }

    private void tick() {
        check();
        timers.schedule(CHECK_INTERVAL_MILLIS, this::tick);
    }

    /**
     * Compares the clocks now. Must be called before a time is recorded, or reported to another process: otherwise a
     * time recorded just after a suspension would be too recent by the length of the suspension, and stay so where it
     * is used.
     */
    public void check() {
        long offsetMillis = wallClockOffsetMillis();
        long suspendedMillis = offsetMillis - lastOffsetMillis;
        lastOffsetMillis = offsetMillis;
        if (suspendedMillis > MIN_REPORTED_MILLIS) {
            logger.atWarning()
                    .with(Logs.DECISION, "stood still")
                    .with(Logs.INPUTS, "millis=" + suspendedMillis)
                    .log("the machine was suspended, or its wall clock was set forward");
            onSuspended.accept(suspendedMillis);
        }
    }

    private long wallClockOffsetMillis() {
        return clock.wallMillis() - clock.monotonicMillis();
    }
}
