package org.hornbeamhead.core.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * A bounded queue of batch requests that wait for idle capacity, earliest latest start first. Its user refuses requests
 * that do not fit.
 *
 * @param <T> the type of the requests
 */
public final class BatchQueue<T> {
    private record Entry<T>(T item, long latestStartMillis, long sequence) {}

    private final int capacity;
    private final PriorityQueue<Entry<T>> queue = new PriorityQueue<>(
            Comparator.<Entry<T>>comparingLong(Entry::latestStartMillis).thenComparingLong(Entry::sequence));
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param capacity the maximum number of waiting requests
     */
    public BatchQueue(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds a request.
     *
     * @param item the request
     * @param latestStartMillis the monotonic time by which it must start to finish in time
     * @return false if the queue is full
     */
    public boolean offer(T item, long latestStartMillis) {
        return queue.size() < capacity && queue.add(new Entry<>(item, latestStartMillis, nextSequence++));
    }

    /**
     * Returns the request with the earliest latest start.
     *
     * @return the request, empty if the queue is empty
     */
    public Optional<T> peek() {
        return Optional.ofNullable(queue.peek()).map(Entry::item);
    }

    /**
     * Returns whether the head of the queue must start now.
     *
     * @param nowMillis the monotonic time
     * @return true if its latest start has been reached
     */
    public boolean isUrgent(long nowMillis) {
        return !queue.isEmpty() && queue.peek().latestStartMillis() <= nowMillis;
    }

    /**
     * Removes and returns the request with the earliest latest start.
     *
     * @return the request, empty if the queue is empty
     */
    public Optional<T> poll() {
        return Optional.ofNullable(queue.poll()).map(Entry::item);
    }

    /**
     * Removes a cancelled request.
     *
     * @param item the request
     */
    public void remove(T item) {
        queue.removeIf(e -> e.item().equals(item));
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number of requests
     */
    public int size() {
        return queue.size();
    }
}
