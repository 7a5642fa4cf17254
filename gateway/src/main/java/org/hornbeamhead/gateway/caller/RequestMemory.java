package org.hornbeamhead.gateway.caller;

import org.hornbeamhead.core.http.WholeRequest;

/**
 * The memory of the whole requests in progress, over all connections. A request is kept until its response is complete,
 * and requests of a burst would otherwise fill the heap and end the process with all requests in it.
 *
 * <p>Owned by one thread.
 */
public final class RequestMemory {
    /** A quarter of the heap of a router. A request that is being sent to a replica takes its body once more. */
    private static final long MAX_BYTES = 16 << 20;
    /** What is kept of a request beside its body: its head of some twenty lines, the exchange and its timers. */
    private static final long FIXED_BYTES = 4_096;

    private long bytes;
    private int count;

    void add(WholeRequest request) {
        bytes += size(request);
        count++;
    }

    void remove(WholeRequest request) {
        bytes -= size(request);
        count--;
    }

    /**
     * Returns whether a request that has arrived, and is counted already, is one too many. A single request is never
     * too much; the limits for callers bound it.
     *
     * @return true if the requests in progress take more than their part of the heap
     */
    public boolean isExceeded() {
        return bytes > MAX_BYTES && count > 1;
    }

    private static long size(WholeRequest request) {
        return FIXED_BYTES + request.body().length;
    }
}
