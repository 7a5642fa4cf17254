package org.hornbeamhead.core.weights;

import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Decides which replicas change their weights next: those with the least work first, and only so many at once that the
 * loads don't slow one another and the others can bear the traffic.
 *
 * @param atOnce the loads that run beside each other without slowing down; from the deployments' sheets
 */
public record RolloutPlan(int atOnce) {
    /** Checks the number. */
    public RolloutPlan {
        if (atOnce < 1) {
            throw new IllegalArgumentException("at least one replica must change at a time, not " + atOnce);
        }
    }

    /**
     * Chooses the next replicas.
     *
     * @param replicas the replicas that take orders
     * @param target the named version
     * @param loading those that were ordered and have not finished
     * @return the replicas to order now, in order
     */
    public List<WeightsReplica> next(List<WeightsReplica> replicas, long target, Set<String> loading) {
        return replicas.stream()
                .filter(r -> r.version() < target && !loading.contains(r.id()))
                .sorted(Comparator.comparingDouble(WeightsReplica::running).thenComparing(WeightsReplica::id))
                .limit(Math.max(0, atOnce - loading.size()))
                .toList();
    }
}
