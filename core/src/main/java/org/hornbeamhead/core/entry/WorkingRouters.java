package org.hornbeamhead.core.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Which routers have work now, how much, and what part of a limit for the whole fleet is this router's.
 *
 * <p>Failure: a limit is divided by all routers, though callers use eight of 63. Symptom: a router with an eighth of
 * the work may open a sixty-third of the connections and repeat two requests in ten seconds. Half of each limit is
 * divided by all routers, so that each may do a little at any moment, and half by those that work.
 *
 * <p>Owned by one thread.
 */
public final class WorkingRouters {
    /** A router that works says so every half a second; six lost datagrams in a row are taken for its end. */
    private static final long HEARD_LIFE_MILLIS = 3_000;
    /**
     * Routers that stopped working still count for this long. Failure: routers are cut off from one another, and each
     * takes itself for the only one left. Symptom: together they repeat many times what the fleet may. A minute is
     * longer than the windows of limits and than most cuts.
     */
    private static final long REMEMBERED_MILLIS = 60_000;
    /** Over how long the own rate is measured. */
    private static final long RATE_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final IntSupplier listed;
    private final Map<String, Heard> heard = new HashMap<>();
    private long windowStart = Long.MIN_VALUE / 2;
    private int counted;
    private double lastRate;

    private record Heard(double rate, long at) {}

    /**
     * Makes a view that has heard of nobody.
     *
     * @param listed counts the listed routers, this one included
     */
    public WorkingRouters(IntSupplier listed) {
        this.listed = listed;
    }

    /**
     * Notes a request of a caller at this router.
     *
     * @param nowMillis the monotonic time
     */
    public void requested(long nowMillis) {
        roll(nowMillis);
        counted++;
    }

    private void roll(long nowMillis) {
        long since = nowMillis - windowStart;
        if (since >= RATE_MILLIS) {
            lastRate = since < 2 * RATE_MILLIS ? counted * MILLIS_PER_SECOND / since : 0;
            counted = 0;
            windowStart = nowMillis;
        }
    }

    /**
     * Measures this router's work.
     *
     * @param nowMillis the monotonic time
     * @return requests a second, over the last two to four seconds
     */
    public double ownRate(long nowMillis) {
        roll(nowMillis);
        long since = nowMillis - windowStart;
        double sinceStart = counted * MILLIS_PER_SECOND / Math.max(RATE_MILLIS / 2.0, (double) since);
        return Math.max(lastRate, sinceStart);
    }

    /**
     * Notes that another router works.
     *
     * @param router its address
     * @param requestsPerSecond its work
     * @param nowMillis the monotonic time
     */
    public void heard(String router, double requestsPerSecond, long nowMillis) {
        heard.put(router, new Heard(requestsPerSecond, nowMillis));
        heard.values().removeIf(h -> nowMillis - h.at() > REMEMBERED_MILLIS);
    }

    /**
     * Lists the other routers that work.
     *
     * @param nowMillis the monotonic time
     * @return their addresses
     */
    public List<String> others(long nowMillis) {
        return heard.entrySet().stream()
                .filter(e -> lately(e.getValue(), nowMillis))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Adds up the work of all routers.
     *
     * @param nowMillis the monotonic time
     * @return requests a second, as far as heard
     */
    public double allRate(long nowMillis) {
        return ownRate(nowMillis)
                + heard.values().stream()
                        .filter(h -> lately(h, nowMillis))
                        .mapToDouble(Heard::rate)
                        .sum();
    }

    /**
     * Tells this router's part of a limit that holds for the whole fleet. The parts of the routers that work add up to
     * the limit at most, as long as each has heard of the others; one that has heard of nobody takes an equal part.
     *
     * @return the part, above 0 and at most 1
     */
    public double shareOfLimits() {
        int all = Math.max(1, Math.max(listed.getAsInt(), heard.size() + 1));
        int working = heard.isEmpty() ? all : heard.size() + 1;
        return (1.0 / all + 1.0 / working) / 2;
    }

    private static boolean lately(Heard h, long nowMillis) {
        return nowMillis - h.at() < HEARD_LIFE_MILLIS;
    }
}
