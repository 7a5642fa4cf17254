package org.hornbeamhead.core.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Timers over a {@link ManualClock}: advancing runs what is due, in order, so that a run repeats exactly. */
public final class ManualTimers implements Timers {
    private record Entry(long dueMillis, long order, Runnable action) {}

    private final ManualClock clock;
    private final PriorityQueue<Entry> queue =
            new PriorityQueue<>(Comparator.comparingLong(Entry::dueMillis).thenComparingLong(Entry::order));
    private long nextOrder;

    /**
     * Makes timers.
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
     * Moves the clock forward, running each action at its time.
     *
     * @param millis how far, in milliseconds
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
