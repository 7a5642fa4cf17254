package org.hornbeamhead.core.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * One router's view of the work at one engine: its own requests exactly, those of other routers from their hints.
 *
 * <p>Many routers choose between the same engines. If each counted its own requests only, all would see the same engine
 * as idle: after a change of weights every request would go to the first engine that is done, and streams there would
 * stall for seconds. The pending prefill work is kept as the time at which the engine will have done all of it, which
 * needs no report from the engine and is corrected by each first event.
 *
 * <p>Owned by one thread.
 */
public final class EngineLoad {
    /** Lifetime of a hint of another router; routers repeat their hints every half a second. */
    private static final long HINT_LIFE_MILLIS = 1_500;
    /** Work sent longer ago than this is prefilled, or the engine is stuck, which its overdue requests show. */
    private static final long SENT_LIFE_MILLIS = 5_000;

    /**
     * Factor by which prefill time is stretched. An engine that prefills without a break makes one token in each step
     * of 95 ms, so that streams pause for half a second; in the spare time added here they catch up at 4 ms a step.
     */
    private static final double PREFILL_SPACING = 1.3;

    private final Map<String, Work> ownRequests = new HashMap<>();
    private final Map<String, RouterHint> routerHints = new HashMap<>();
    private final Deque<QueuedPrefill> queuedPrefills = new ArrayDeque<>();
    private double prefillUntil;

    private record Work(long sentAt, double expectedAt, int memoryTokens, boolean longAnswer, boolean prefilling) {}

    private record RouterHint(int running, int longAnswers, int memoryTokens, long at) {}

    private record QueuedPrefill(long at, double millis) {}

    /**
     * Records a request that this router sent.
     *
     * @param id the request
     * @param prefillMillis the predicted prefill time of the request, in milliseconds
     * @param memoryTokens the tokens that the request takes in the engine's memory
     * @param longAnswer whether the answer is long enough for its pauses to matter
     * @param nowMillis the monotonic time
     */
    public void recordSent(String id, double prefillMillis, int memoryTokens, boolean longAnswer, long nowMillis) {
        enqueuePrefill(prefillMillis, nowMillis);
        ownRequests.put(id, new Work(nowMillis, prefillUntil, memoryTokens, longAnswer, true));
    }

    /**
     * Records a request that another router sent.
     *
     * @param prefillMillis the predicted prefill time of the request, in milliseconds
     * @param nowMillis the monotonic time
     */
    public void recordHint(double prefillMillis, long nowMillis) {
        enqueuePrefill(prefillMillis, nowMillis);
    }

    private void enqueuePrefill(double prefillMillis, long nowMillis) {
        double spacedMillis = prefillMillis * PREFILL_SPACING;
        prefillUntil = Math.max(prefillUntil, (double) nowMillis) + spacedMillis;
        queuedPrefills.addLast(new QueuedPrefill(nowMillis, spacedMillis));
        while (queuedPrefills.peekFirst().at() < nowMillis - SENT_LIFE_MILLIS) {
            queuedPrefills.removeFirst();
        }
    }

    /**
     * Records the requests of another router at the engine.
     *
     * @param router the other router
     * @param running the number of its requests that have not ended
     * @param longAnswers the number of those with long answers
     * @param memoryTokens the tokens that they take
     * @param nowMillis the monotonic time
     */
    public void recordHint(String router, int running, int longAnswers, int memoryTokens, long nowMillis) {
        if (running == 0) {
            routerHints.remove(router);
        } else {
            routerHints.put(router, new RouterHint(running, longAnswers, memoryTokens, nowMillis));
        }
    }

    /**
     * Records a request's first event. All work sent before the request is then done, since engines prefill in the
     * order of arrival.
     *
     * @param id the request
     * @param nowMillis the monotonic time
     */
    public void recordFirstEvent(String id, long nowMillis) {
        Work work = ownRequests.get(id);
        if (work == null || !work.prefilling()) {
            return;
        }
        ownRequests.put(id, new Work(work.sentAt(), work.expectedAt(), work.memoryTokens(), work.longAnswer(), false));
        double remainingMillis = queuedPrefills.stream()
                .filter(queued -> queued.at() > work.sentAt())
                .mapToDouble(QueuedPrefill::millis)
                .sum();
        prefillUntil = Math.min(prefillUntil, (double) nowMillis + remainingMillis);
    }

    /**
     * Records that a request ended, completed or not.
     *
     * @param id the request
     */
    public void recordEnded(String id) {
        ownRequests.remove(id);
    }

    /**
     * Returns the number of this router's requests.
     *
     * @return the requests that have not ended
     */
    public int ownRequests() {
        return ownRequests.size();
    }

    /**
     * Returns the number of tokens that this router's requests take.
     *
     * @return the tokens
     */
    public int ownMemoryTokens() {
        return ownRequests.values().stream().mapToInt(Work::memoryTokens).sum();
    }

    /**
     * Returns the number of this router's requests with long answers.
     *
     * @return those that have not ended
     */
    public int ownLongAnswers() {
        return (int) ownRequests.values().stream().filter(Work::longAnswer).count();
    }

    /**
     * Returns the number of requests with long answers of all routers.
     *
     * @param nowMillis the monotonic time
     * @return the number as far as known
     */
    public int longAnswers(long nowMillis) {
        return ownLongAnswers()
                + routerHints.values().stream()
                        .filter(hint -> isCurrent(hint, nowMillis))
                        .mapToInt(RouterHint::longAnswers)
                        .sum();
    }

    /**
     * Returns the number of requests of all routers.
     *
     * @param nowMillis the monotonic time
     * @return the number as far as known
     */
    public int runningRequests(long nowMillis) {
        return ownRequests.size()
                + routerHints.values().stream()
                        .filter(hint -> isCurrent(hint, nowMillis))
                        .mapToInt(RouterHint::running)
                        .sum();
    }

    /**
     * Predicts how long a request that is sent now waits for its prefill.
     *
     * @param nowMillis the monotonic time
     * @return milliseconds; grows while a request's first event is overdue
     */
    public double waitMillis(long nowMillis) {
        double overdue = ownRequests.values().stream()
                .filter(Work::prefilling)
                .mapToDouble(work -> nowMillis - work.expectedAt())
                .max()
                .orElse(0);
        return Math.max(0, prefillUntil - nowMillis) + Math.max(0, overdue);
    }

    /**
     * Returns the prefill work that was recently sent to the engine, whether it is done or not.
     *
     * @param windowMillis the length of the window, in milliseconds
     * @param nowMillis the monotonic time
     * @return the prefill work, in milliseconds of the engine's time
     */
    public double recentPrefillMillis(long windowMillis, long nowMillis) {
        return queuedPrefills.stream()
                        .filter(queued -> queued.at() > nowMillis - windowMillis)
                        .mapToDouble(QueuedPrefill::millis)
                        .sum()
                / PREFILL_SPACING;
    }

    /**
     * Returns the number of tokens that requests take.
     *
     * @param nowMillis the monotonic time
     * @return the tokens as far as known
     */
    public int memoryTokens(long nowMillis) {
        return ownMemoryTokens()
                + routerHints.values().stream()
                        .filter(hint -> isCurrent(hint, nowMillis))
                        .mapToInt(RouterHint::memoryTokens)
                        .sum();
    }

    private static boolean isCurrent(RouterHint hint, long nowMillis) {
        return nowMillis - hint.at() < HINT_LIFE_MILLIS;
    }
}
