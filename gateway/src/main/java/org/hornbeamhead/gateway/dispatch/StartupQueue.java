package org.hornbeamhead.gateway.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;
import org.hornbeamhead.core.time.Timers;

/**
 * Queues requests that arrive before the router has loaded its first configuration.
 *
 * <p>When all routers regain power together, callers reach them some tenths of a second before the configuration does.
 * Rejecting these requests would use up each caller's one retry and make it late. A request therefore waits for the
 * configuration for part of the time in which a response would still be on time, and is rejected after that.
 */
final class StartupQueue {
    /** Shorter than the usual target for the first event, so that a response can still be on time. */
    static final long MAX_WAIT_MILLIS = 400;
    /** Bounds the memory: at 64 KB a body this is at most 16 MB. */
    static final int MAX_REQUESTS = 256;

    private final Timers timers;
    private final Set<PendingRequest> waiting = new LinkedHashSet<>();

    /** A queued request. Compared by identity; it is either served or rejected. */
    private static final class PendingRequest {
        private final Runnable serve;

        PendingRequest(Runnable serve) {
            this.serve = serve;
        }
    }

    StartupQueue(Timers timers) {
        this.timers = timers;
    }

    /**
     * Queues a request.
     *
     * @param serve called once the configuration is loaded
     * @param reject called when the configuration is not loaded in time, or when the queue is full
     */
    void add(Runnable serve, Runnable reject) {
        if (waiting.size() >= MAX_REQUESTS) {
            reject.run();
            return;
        }
        PendingRequest request = new PendingRequest(serve);
        waiting.add(request);
        timers.schedule(MAX_WAIT_MILLIS, () -> {
            if (waiting.remove(request)) {
                reject.run();
            }
        });
    }

    /**
     * Serves the queued requests, in a later reactor turn, after the changes that arrived with the configuration have
     * been applied. Each has an action of its own, so that a failure of one does not keep the others from being served.
     */
    void release() {
        timers.schedule(0, () -> {
            waiting.forEach(r -> timers.schedule(0, r.serve));
            waiting.clear();
        });
    }
}
