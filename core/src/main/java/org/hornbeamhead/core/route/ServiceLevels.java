package org.hornbeamhead.core.route;

/**
 * What the streaming routes of a service together ask of its replicas.
 *
 * @param mostUrgentPriority the priority of the most urgent route; 0 is the highest there is
 * @param leastUrgentPriority the priority of the least urgent route
 * @param shortestGapMillis the shortest target for the gap between two events, in milliseconds; 0 if none is stated
 */
public record ServiceLevels(int mostUrgentPriority, int leastUrgentPriority, long shortestGapMillis) {
    /** The levels of a service without streaming routes. */
    public static final ServiceLevels NONE = new ServiceLevels(0, 0, 0);

    /**
     * Routes this many levels below the most urgent one are deferrable. Neighbouring levels only order the requests at
     * a replica.
     */
    private static final int DEFERRABLE_LEVELS = 2;
    /** The gap that engines keep to without regard to the length of prompts and answers. */
    private static final long COMMON_GAP_MILLIS = 500;

    /** Validates that the priorities are ordered. */
    public ServiceLevels {
        if (mostUrgentPriority > leastUrgentPriority) {
            throw new IllegalArgumentException("the most urgent priority " + mostUrgentPriority
                    + " must not be above the least urgent one, " + leastUrgentPriority);
        }
    }

    /**
     * Returns the levels of a service with one streaming route.
     *
     * @param route the route
     * @return its levels
     */
    public static ServiceLevels of(Route route) {
        return new ServiceLevels(
                route.priority(), route.priority(), route.limits().gapTargetMillis());
    }

    /**
     * Returns the levels of a service with the routes of both.
     *
     * @param other the levels of further routes of the service
     * @return the levels of all routes
     */
    public ServiceLevels and(ServiceLevels other) {
        return new ServiceLevels(
                Math.min(mostUrgentPriority, other.mostUrgentPriority),
                Math.max(leastUrgentPriority, other.leastUrgentPriority),
                shorterGap(shortestGapMillis, other.shortestGapMillis));
    }

    private static long shorterGap(long a, long b) {
        return a == 0 || b == 0 ? Math.max(a, b) : Math.min(a, b);
    }

    /**
     * Returns whether requests of a priority may wait for more urgent ones.
     *
     * @param priority the priority of a route of this service
     * @return true if it is two levels or more below the most urgent route
     */
    public boolean isDeferrable(int priority) {
        return priority >= mostUrgentPriority + DEFERRABLE_LEVELS;
    }

    /**
     * Returns whether some requests of the service may wait for others.
     *
     * @return true if a route is deferrable
     */
    public boolean hasDeferrable() {
        return isDeferrable(leastUrgentPriority);
    }

    /**
     * Returns whether long prompts and long answers must be told apart: a gap target is shorter than what engines keep
     * to without that, or some requests are deferrable.
     *
     * @return true if placement must regard the lengths of prompts and answers
     */
    public boolean isMixed() {
        return (shortestGapMillis > 0 && shortestGapMillis < COMMON_GAP_MILLIS) || hasDeferrable();
    }
}
