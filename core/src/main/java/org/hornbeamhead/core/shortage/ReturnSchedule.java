package org.hornbeamhead.core.shortage;

import java.util.TreeMap;

/**
 * Books the times at which refused callers may return.
 *
 * <p>Callers that are refused in the same moment and told the same delay return in the same moment, and are refused
 * again. Returns are therefore spaced by the interval at which this router was recently able to send. Urgent callers
 * are booked without regard to less urgent ones, whose later bookings move back. Owned by one thread.
 */
public final class ReturnSchedule {
    /** Shortest delay; room at the engines changes by little in less. */
    private static final long MIN_RETURN_MILLIS = 300;
    /** A caller may be delayed by at most one part in this many of the time that it has left. */
    private static final double TIME_LEFT_DIVISOR = 3;
    /** The time over which the rate of sends is measured, in milliseconds. */
    private static final double MEMORY_MILLIS = 2_000;
    /** Longest interval between two returns, for a router that has sent nothing lately. */
    private static final double MAX_INTERVAL_MILLIS = 250;
    /** Multiples of it, modulo 1, spread evenly over the interval from 0 to 1: the golden ratio. */
    private static final double SPREAD = 0.618_033_988_749_895;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final RecentRate sends = new RecentRate(MEMORY_MILLIS);
    private final TreeMap<Integer, Double> lastReturns = new TreeMap<>();
    private int spreadReturns;

    /**
     * Records that a request was sent to an engine.
     *
     * @param nowMillis the monotonic time
     */
    public void recordSent(long nowMillis) {
        sends.add(1, nowMillis);
    }

    /**
     * Books the return of a refused caller.
     *
     * @param priority its priority, 0 is the highest
     * @param timeLeftMillis how long the caller waits, in milliseconds
     * @param nowMillis the monotonic time
     * @return the delay, in milliseconds, at most a third of the time left
     */
    public long bookReturnMillis(int priority, long timeLeftMillis, long nowMillis) {
        double longest = Math.max(0.0, (double) timeLeftMillis / TIME_LEFT_DIVISOR);
        double shortest = Math.min((double) MIN_RETURN_MILLIS, longest);
        double intervalMillis = intervalMillis(nowMillis);
        double afterOthers = lastReturns.headMap(priority, true).values().stream()
                        .mapToDouble(Double::doubleValue)
                        .max()
                        .orElse(0)
                + intervalMillis
                - nowMillis;
        double delay = Math.max(shortest, afterOthers);
        if (delay > longest) {
            spreadReturns++;
            return Math.round(shortest + (longest - shortest) * (spreadReturns * SPREAD % 1));
        }
        lastReturns.put(priority, nowMillis + delay);
        lastReturns.tailMap(priority, false).replaceAll((p, at) -> Math.max(at, (double) nowMillis) + intervalMillis);
        return Math.round(delay);
    }

    private double intervalMillis(long nowMillis) {
        double perSecond = sends.perSecond(nowMillis);
        return perSecond <= 0 ? MAX_INTERVAL_MILLIS : Math.min(MAX_INTERVAL_MILLIS, MILLIS_PER_SECOND / perSecond);
    }
}
