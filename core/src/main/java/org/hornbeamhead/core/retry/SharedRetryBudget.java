package org.hornbeamhead.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One router's part of a retry budget shared by all routers: a ratio of the requests in any window, plus a fixed number
 * for the whole fleet.
 *
 * <p>If a fault affects all replicas and every router retries every request, the load of the service doubles when it
 * has the least capacity. Each router keeps a token bucket. A part of the budget of one window is what the bucket can
 * hold; the rest is what refills it, with each request and with time. Whatever a window begins with, the retries in it
 * are therefore within the budget: at most a full bucket and the refill of one window.
 *
 * <p>A bucket begins empty, so that restarts never add to the budget: what a router did not know to be left when its
 * process ended is gone. Only routers that start together with the whole system, which has sent nothing, begin with a
 * full one. The parts of all routers add up to the whole as long as their shares of the fixed number add up to 1.
 *
 * <p>Tokens may move from one router's bucket to another's, which changes no sum. Those that are lost between them, or
 * that a bucket cannot hold, are gone.
 *
 * <p>Not thread-safe.
 */
public final class SharedRetryBudget {
    /** Usable share of the budget. The rest is a margin for retries that arrive later than they were sent. */
    private static final double USABLE_SHARE = 0.9;
    /** The part of a window's budget that a bucket can hold, for faults that fail many requests at once. */
    private static final double BURST_SHARE = 0.4;

    private static final int INTERVALS = 10;

    private final Limits limits;
    private final Deque<Interval> intervals = new ArrayDeque<>();
    private double tokens;
    private long refilledAt;

    /**
     * The limits of the retries of a service.
     *
     * @param ratio retries allowed per request
     * @param slack additional retries allowed per window, for the whole fleet
     * @param windowMillis the length of the window, in milliseconds
     */
    public record Limits(double ratio, double slack, long windowMillis) {}

    private static final class Interval {
        private final long start;
        private int requests;

        Interval(long start) {
            this.start = start;
        }
    }

    private SharedRetryBudget(Limits limits, double tokens, long startMillis) {
        this.limits = limits;
        this.tokens = tokens;
        this.refilledAt = startMillis;
    }

    /**
     * Creates the budget of a router that knows nothing of the retries that were sent before it started.
     *
     * @param limits the limits
     * @param startMillis when the router started, by the monotonic clock
     * @return a budget that begins empty
     */
    public static SharedRetryBudget empty(Limits limits, long startMillis) {
        return new SharedRetryBudget(limits, 0, startMillis);
    }

    /**
     * Creates the budget of a router that starts together with the whole system.
     *
     * @param limits the limits
     * @param startMillis when the router started, by the monotonic clock
     * @return a budget that begins as full as it can be without requests
     */
    public static SharedRetryBudget full(Limits limits, long startMillis) {
        return new SharedRetryBudget(limits, Double.POSITIVE_INFINITY, startMillis);
    }

    /**
     * Records a request from a caller, which earns a part of a retry.
     *
     * @param nowMillis the monotonic time
     * @param share this router's part of the fixed number, at most 1
     */
    public void recordRequest(long nowMillis, double share) {
        currentInterval(nowMillis).requests++;
        tokens += USABLE_SHARE * (1 - BURST_SHARE) * limits.ratio();
        refill(nowMillis, share);
    }

    /**
     * Takes back what a request earned that another router will count.
     *
     * @param nowMillis the monotonic time
     */
    public void withdrawRequest(long nowMillis) {
        currentInterval(nowMillis).requests--;
        tokens -= USABLE_SHARE * (1 - BURST_SHARE) * limits.ratio();
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
        tokens--;
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
     * @return the number, with a fraction
     */
    public double available(long nowMillis, double share) {
        refill(nowMillis, share);
        return tokens;
    }

    /**
     * Takes tokens out for another router. A bucket that is less than half full gives none.
     *
     * @param nowMillis the monotonic time
     * @param share this router's part of the fixed number, at most 1
     * @param most the largest number of tokens
     * @return the tokens, 0 or more
     */
    public double give(long nowMillis, double share, double most) {
        refill(nowMillis, share);
        double given = Math.max(0, Math.min(most, tokens - capacity(share) / 2));
        tokens -= given;
        return given;
    }

    /**
     * Adds tokens that another router took out of its bucket, as far as this one can hold them.
     *
     * @param nowMillis the monotonic time
     * @param share this router's part of the fixed number, at most 1
     * @param given the tokens
     */
    public void receive(long nowMillis, double share, double given) {
        refill(nowMillis, share);
        tokens = Math.min(capacity(share), tokens + given);
    }

    /**
     * Returns whether the bucket is less than half full.
     *
     * @param nowMillis the monotonic time
     * @param share this router's part of the fixed number, at most 1
     * @return true if it would give no tokens
     */
    public boolean isLow(long nowMillis, double share) {
        return available(nowMillis, share) < capacity(share) / 2;
    }

    private double capacity(double share) {
        int requests = intervals.stream().mapToInt(i -> i.requests).sum();
        return BURST_SHARE * USABLE_SHARE * (limits.slack() * share + limits.ratio() * requests);
    }

    private void refill(long nowMillis, double share) {
        currentInterval(nowMillis);
        double fixedPart = USABLE_SHARE * limits.slack() * share;
        double elapsedWindows = (double) (nowMillis - refilledAt) / limits.windowMillis();
        tokens = Math.min(capacity(share), tokens + (1 - BURST_SHARE) * fixedPart * elapsedWindows);
        refilledAt = nowMillis;
    }

    private Interval currentInterval(long nowMillis) {
        long length = Math.max(1, limits.windowMillis() / INTERVALS);
        long start = nowMillis - nowMillis % length;
        if (intervals.isEmpty() || intervals.peekLast().start < start) {
            intervals.addLast(new Interval(start));
        }
        while (intervals.peekFirst().start <= start - INTERVALS * length) {
            intervals.removeFirst();
        }
        return intervals.peekLast();
    }
}
