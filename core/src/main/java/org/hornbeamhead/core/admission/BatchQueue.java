package org.hornbeamhead.core.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Batch requests that wait for slack, the earliest deadline first. Bounded: what does not fit is refused by the caller
 * of this class.
 *
 * @param <T> what waits
 */
public final class BatchQueue<T> {
    private record Entry<T>(T item, long latestStartMillis, long order) {}

    private final int capacity;
    private final PriorityQueue<Entry<T>> queue = new PriorityQueue<>(
            Comparator.<Entry<T>>comparingLong(Entry::latestStartMillis).thenComparingLong(Entry::order));
    private long nextOrder;

    /**
     * Makes an empty queue.
     *
     * @param capacity how many may wait
     */
    public BatchQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Puts a request in.
     *
     * @param item the request
     * @param latestStartMillis the monotonic time at which it must start to be done in time
     * @return false when the queue is full
     */
    public boolean offer(T item, long latestStartMillis) {
        return queue.size() < capacity && queue.add(new Entry<>(item, latestStartMillis, nextOrder++));
    }

    /**
     * Looks at the most pressing request.
     *
     * @return the request, empty when none waits
     */
    public Optional<T> peek() {
        return Optional.ofNullable(queue.peek()).map(Entry::item);
    }

    /**
     * Tells whether the most pressing request must start.
     *
     * @param nowMillis the monotonic time
     * @return true when its latest start has come
     */
    public boolean isPressing(long nowMillis) {
        return !queue.isEmpty() && queue.peek().latestStartMillis() <= nowMillis;
    }

    /**
     * Takes out the most pressing request.
     *
     * @return the request, empty when none waits
     */
    public Optional<T> poll() {
        return Optional.ofNullable(queue.poll()).map(Entry::item);
    }

    /**
     * Takes out a request that was given up.
     *
     * @param item the request
     */
    public void remove(T item) {
        queue.removeIf(e -> e.item().equals(item));
    }

    /**
     * Counts what waits.
     *
     * @return the number of requests
     */
    public int size() {
        return queue.size();
    }
}
