package org.hornbeamhead.core.shortage;

/**
 * A deferrable request that asks for admission.
 *
 * @param item the request itself
 * @param customer the customer; empty for anonymous requests, which share one turn
 * @param priority the priority, 0 is the highest
 * @param tokens the tokens of its prompt and of its longest answer
 * @param bodyBytes the memory that it takes while it waits
 * @param latestStartMillis the monotonic time until which it must be sent to be on time
 * @param waitUntilMillis the monotonic time until which it may wait
 * @param <T> the type of the request
 */
public record WaitingRequest<T>(
        T item,
        String customer,
        int priority,
        int tokens,
        long bodyBytes,
        long latestStartMillis,
        long waitUntilMillis) {
    /** Returns whether the request is not worth waiting for any more. */
    boolean isExpired(long nowMillis) {
        return nowMillis >= expiresAtMillis();
    }

    long expiresAtMillis() {
        return Math.min(latestStartMillis, waitUntilMillis);
    }
}
