package org.hornbeamhead.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One router's part of a budget of repeats that all routers share: a share of the requests in a sliding window, and a
 * fixed number for the whole fleet.
 *
 * <p>Failure: under a fault that hits all replicas, every router repeats every request. Symptom: the service gets twice
 * the load just when it can bear least. Each router takes at most its own requests' share and its part of the fixed
 * number, so that the sum stays within the whole budget without any message.
 */
public final class SharedRetryBudget {
    /** Part of the budget that is used. The rest covers a router that counts fewer live routers than there are. */
    private static final double USED_PART = 0.7;

    private static final int SLICES = 10;

    private final double ratio;
    private final double slack;
    private final long sliceMillis;
    private final Deque<Slice> slices = new ArrayDeque<>();

    private static final class Slice {
        private final long start;
        private int requests;
        private int repeats;

        Slice(long start) {
            this.start = start;
        }
    }

    /**
     * Makes a budget.
     *
     * @param ratio repeats allowed a request
     * @param slack repeats allowed besides, over the whole fleet and window
     * @param windowMillis the window, in milliseconds
     */
    public SharedRetryBudget(double ratio, double slack, long windowMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.sliceMillis = Math.max(1, windowMillis / SLICES);
    }

    /**
     * Notes a request that came from a caller.
     *
     * @param nowMillis the monotonic time
     */
    public void requested(long nowMillis) {
        slice(nowMillis).requests++;
    }

    /**
     * Takes one repeat.
     *
     * @param nowMillis the monotonic time
     * @param share this router's part of what is allowed besides, at most 1
     * @return whether there was one
     */
    public boolean tryTake(long nowMillis, double share) {
        if (!canTake(nowMillis, share)) {
            return false;
        }
        slice(nowMillis).repeats++;
        return true;
    }

    /**
     * Tells whether there is a repeat to take.
     *
     * @param nowMillis the monotonic time
     * @param share this router's part of what is allowed besides, at most 1
     * @return whether one could be taken now
     */
    public boolean canTake(long nowMillis, double share) {
        slice(nowMillis);
        int requests = slices.stream().mapToInt(s -> s.requests).sum();
        int repeats = slices.stream().mapToInt(s -> s.repeats).sum();
        double allowed = USED_PART * (ratio * requests + slack * share);
        return repeats + 1 <= allowed;
    }

    private Slice slice(long nowMillis) {
        long start = nowMillis - nowMillis % sliceMillis;
        if (slices.isEmpty() || slices.peekLast().start < start) {
            slices.addLast(new Slice(start));
        }
        while (slices.peekFirst().start <= start - SLICES * sliceMillis) {
            slices.removeFirst();
        }
        return slices.peekLast();
    }
}
