package org.hornbeamhead.daemon;

import org.hornbeamhead.core.time.Clock;

/** The machine's clocks. */
public final class ReactorClock implements Clock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    @Override
    public long monotonicMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }
}
