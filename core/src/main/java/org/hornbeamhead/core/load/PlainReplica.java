package org.hornbeamhead.core.load;

import java.util.Comparator;

/**
 * A replica of a service without engines, as the choice among them sees it.
 *
 * @param knownRequests the requests of all routers there, as far as this router knows
 * @param statedLoad what the replica stated of its load
 * @param sameDataCentre whether it is in the data centre of this router
 * @param openConnections the connections of this router to it
 */
public record PlainReplica(int knownRequests, StatedLoad statedLoad, boolean sameDataCentre, int openConnections) {
    /**
     * Returns an order in which the replica that should get the next request is the first. Replicas that state no pace
     * are ordered by the requests that are known to be there.
     *
     * @param nowMillis the monotonic time
     * @return the order
     */
    public static Comparator<PlainReplica> byExpectedWork(long nowMillis) {
        return Comparator.comparingDouble((PlainReplica r) -> r.expectedWork(nowMillis))
                .thenComparing(r -> !r.sameDataCentre())
                .thenComparingInt(PlainReplica::openConnections);
    }

    /** Counts the new request, since it takes longer at a slow replica even if that is idle. */
    private double expectedWork(long nowMillis) {
        double requests = Math.max(knownRequests, statedLoad.requests(nowMillis));
        return (requests + 1) * statedLoad.pace(nowMillis);
    }
}
