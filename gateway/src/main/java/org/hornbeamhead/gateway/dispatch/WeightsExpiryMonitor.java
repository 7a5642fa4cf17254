package org.hornbeamhead.gateway.dispatch;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.hornbeamhead.core.time.Timers;

/**
 * Cancels requests that are still queued at an engine when the weights version they would run on expires.
 *
 * <p>Weights can be superseded, or turn out to have been superseded earlier, while a request is queued at an engine;
 * the request would then start on expired weights. No expiry time known at sending is right for the whole wait, so the
 * remaining time is checked repeatedly until the request starts, independently of all other timeouts.
 *
 * <p>All requests for the same weights version are checked together by one timer, so the cost of a check depends on the
 * number of versions in use, not on the number of requests. Not thread-safe.
 */
final class WeightsExpiryMonitor {
    /**
     * The interval between checks, in milliseconds, which bounds how late a shortened expiry time is noticed. It is
     * less than a third of the 350 ms margin that the view of the weights keeps before the bound; ten checks a second
     * cost next to nothing.
     */
    static final long CHECK_INTERVAL_MILLIS = 100;

    private final Timers timers;
    private final ToLongFunction<ModelVersion> usableMillis;
    private final Map<ModelVersion, Set<QueuedRequest>> queued = new HashMap<>();
    private boolean checkScheduled;

    /**
     * The weights that a request would run on.
     *
     * @param model the model
     * @param version the weights version
     */
    record ModelVersion(String model, long version) {}

    /** A queued request, compared by identity. */
    private static final class QueuedRequest {
        private final Runnable cancel;
        private boolean finished;

        QueuedRequest(Runnable cancel) {
            this.cancel = cancel;
        }

        void cancel() {
            if (!finished) {
                finished = true;
                cancel.run();
            }
        }
    }

    /**
     * Creates a monitor without requests.
     *
     * @param timers the timers of the current thread
     * @param usableMillis returns how long requests may still start on a weights version, in milliseconds
     */
    WeightsExpiryMonitor(Timers timers, ToLongFunction<ModelVersion> usableMillis) {
        this.timers = timers;
        this.usableMillis = usableMillis;
    }

    /** Returns how long requests may still start on a weights version, in milliseconds. */
    long remainingMillis(ModelVersion modelVersion) {
        return usableMillis.applyAsLong(modelVersion);
    }

    /**
     * Watches a request that was sent.
     *
     * @param modelVersion the weights that the request would run on
     * @param cancel called at most once, when the weights expire
     * @return an action to run when the request has started or ended; further calls have no effect
     */
    Runnable watch(ModelVersion modelVersion, Runnable cancel) {
        QueuedRequest request = new QueuedRequest(cancel);
        queued.computeIfAbsent(modelVersion, v -> new LinkedHashSet<>()).add(request);
        if (!checkScheduled) {
            scheduleCheck();
        } else if (remainingMillis(modelVersion) < CHECK_INTERVAL_MILLIS) {
            timers.schedule(delay(remainingMillis(modelVersion)), this::cancelExpired);
        }
        return () -> unregister(modelVersion, request);
    }

    private void unregister(ModelVersion modelVersion, QueuedRequest request) {
        request.finished = true;
        queued.computeIfPresent(modelVersion, (v, requests) -> {
            requests.remove(request);
            return requests.isEmpty() ? null : requests;
        });
    }

    private void scheduleCheck() {
        long remaining =
                queued.keySet().stream().mapToLong(this::remainingMillis).min().orElse(CHECK_INTERVAL_MILLIS);
        checkScheduled = true;
        timers.schedule(delay(remaining), this::check);
    }

    private static long delay(long remainingMillis) {
        return Math.max(1, Math.min(remainingMillis, CHECK_INTERVAL_MILLIS));
    }

    private void check() {
        cancelExpired();
        checkScheduled = false;
        if (!queued.isEmpty()) {
            scheduleCheck();
        }
    }

    /** Cancels all requests for expired weights. A cancelled request may be sent and queued again at once. */
    private void cancelExpired() {
        List<ModelVersion> expired =
                queued.keySet().stream().filter(v -> remainingMillis(v) <= 0).toList();
        expired.stream().map(queued::remove).flatMap(Set::stream).toList().forEach(QueuedRequest::cancel);
    }
}
