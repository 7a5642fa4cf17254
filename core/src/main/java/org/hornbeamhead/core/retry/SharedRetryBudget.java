package org.hornbeamhead.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One router's part of a retry budget shared by all routers: a ratio of the requests in a sliding window, plus a fixed
 * number for the whole fleet.
 *
 * <p>If a fault affects all replicas and every router retries every request, the load of the service doubles when it
 * has the least capacity. Each router uses at most the ratio of its own requests and its part of the fixed number, so
 * the sum stays within the shared budget without coordination between routers.
 */
public final class SharedRetryBudget {
    /** Usable share of the budget. The rest is a margin for routers that count fewer live routers than there are. */
    private static final double USABLE_SHARE = 0.7;

    private static final int BUCKETS = 10;

    private final double ratio;
    private final double slack;
    private final long bucketMillis;
    private final Deque<Bucket> buckets = new ArrayDeque<>();

    private static final class Bucket {
        private final long start;
        private int requests;
        private int retries;

        Bucket(long start) {
            this.start = start;
        }
    }

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed per request
     * @param slack additional retries allowed per window, for the whole fleet
     * @param windowMillis the length of the window, in milliseconds
     */
    public SharedRetryBudget(double ratio, double slack, long windowMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.bucketMillis = Math.max(1, windowMillis / BUCKETS);
    }

    /**
     * Records a request from a caller.
     *
     * @param nowMillis the monotonic time
     */
    public void recordRequest(long nowMillis) {
        currentBucket(nowMillis).requests++;
    }

    /**
     * Takes one retry from the budget.
     *
     * @param nowMillis the monotonic time
     * @param share this router's part of the fixed number, at most 1
     * @return false if the budget is exhausted
     */
    public boolean tryAcquire(long nowMillis, double share) {
        if (!canAcquire(nowMillis, share)) {
            return false;
        }
        currentBucket(nowMillis).retries++;
        return true;
    }

    /**
     * Returns whether a retry is available.
     *
     * @param nowMillis the monotonic time
     * @param share this router's part of the fixed number, at most 1
     * @return true if {@link #tryAcquire} would succeed now
     */
    public boolean canAcquire(long nowMillis, double share) {
        return available(nowMillis, share) >= 1;
    }

    /**
     * Returns how many retries are available.
     *
     * @param nowMillis the monotonic time
     * @param share this router's part of the fixed number, at most 1
     * @return the number, with a fraction; negative if the budget has shrunk since retries were taken
     */
    public double available(long nowMillis, double share) {
        currentBucket(nowMillis);
        int requests = buckets.stream().mapToInt(b -> b.requests).sum();
        int retries = buckets.stream().mapToInt(b -> b.retries).sum();
        return USABLE_SHARE * (ratio * requests + slack * share) - retries;
    }

    private Bucket currentBucket(long nowMillis) {
        long start = nowMillis - nowMillis % bucketMillis;
        if (buckets.isEmpty() || buckets.peekLast().start < start) {
            buckets.addLast(new Bucket(start));
        }
        while (buckets.peekFirst().start <= start - BUCKETS * bucketMillis) {
            buckets.removeFirst();
        }
        return buckets.peekLast();
    }
}
