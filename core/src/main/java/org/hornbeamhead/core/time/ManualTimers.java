package org.hornbeamhead.core.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Timers driven by a {@link ManualClock}. Due actions run in a fixed order, so that runs are reproducible. */
public final class ManualTimers implements Timers {
    private record Entry(long dueMillis, long order, Runnable action) {}

    private final ManualClock clock;
    private final PriorityQueue<Entry> queue =
            new PriorityQueue<>(Comparator.comparingLong(Entry::dueMillis).thenComparingLong(Entry::order));
    private long nextOrder;

    /**
     * Creates timers.
     *
     * @param clock the clock to advance
     */
    public ManualTimers(ManualClock clock) {
        this.clock = clock;
    }

    @Override
    public void schedule(long delayMillis, Runnable action) {
        queue.add(new Entry(clock.monotonicMillis() + Math.max(0, delayMillis), nextOrder++, action));
    }

    /**
     * Advances the clock and runs each action at its due time.
     *
     * @param millis the time to advance by, in milliseconds
     */
    public void advance(long millis) {
        long end = clock.monotonicMillis() + millis;
        while (!queue.isEmpty() && queue.peek().dueMillis() <= end) {
            Entry entry = queue.poll();
            clock.advance(Math.max(0, entry.dueMillis() - clock.monotonicMillis()));
            entry.action().run();
        }
        clock.advance(end - clock.monotonicMillis());
    }
}
