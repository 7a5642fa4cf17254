package org.hornbeamhead.core.pool;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hornbeamhead.core.config.Pool;
import org.hornbeamhead.core.drain.DrainOrders;

/**
 * Decides which orders bring a pool's replicas into the state that the operators configured. A pure function of the
 * observed state: orders are repeated until the replicas are in the configured state, so that a lost order, or an old
 * one that an engine obeyed, is corrected at the next observation.
 */
public final class PoolPlan {
    private PoolPlan() {}

    /**
     * Decides which orders to send now.
     *
     * @param pool the configured state of the pool
     * @param drains the operators' drain orders; empty while they are not known, when only replicas whose host leaves
     *     get orders, since any other order would tell a replica to accept work
     * @param observations the observed state of the replicas
     * @param loadSlots how many loads this pool may have running
     * @param loading replicas that were ordered to load and have not finished
     * @return the orders to send now
     */
    public static List<ReplicaOrder> decide(
            Pool pool,
            Optional<DrainOrders> drains,
            List<ReplicaObservation> observations,
            int loadSlots,
            List<String> loading) {
        DrainOrders knownDrains = drains.orElse(DrainOrders.NONE);
        List<ReplicaObservation> actionable = observations.stream()
                .filter(o -> o.report().isPresent())
                .filter(o -> drains.isPresent() || o.endpoint().leaving())
                .toList();
        Stream<ReplicaOrder> loads = actionable.stream()
                .filter(o ->
                        !hasWeights(pool, o) && !loading.contains(o.endpoint().address()))
                .limit(Math.max(0, loadSlots - loading.size()))
                .map(o -> order(pool, knownDrains, o, true));
        Stream<ReplicaOrder> corrections = actionable.stream()
                .filter(o -> hasWeights(pool, o) && isDraining(o) != shouldDrain(knownDrains, o))
                .map(o -> order(pool, knownDrains, o, false));
        return Stream.concat(loads, corrections).toList();
    }

    private static ReplicaOrder order(Pool pool, DrainOrders drains, ReplicaObservation o, boolean load) {
        return new ReplicaOrder(o.endpoint().address(), pool.weights(), shouldDrain(drains, o), load);
    }

    private static boolean hasWeights(Pool pool, ReplicaObservation o) {
        return o.report().filter(r -> r.weights().equals(pool.weights())).isPresent();
    }

    private static boolean isDraining(ReplicaObservation o) {
        return o.report().filter(r -> r.draining()).isPresent();
    }

    private static boolean shouldDrain(DrainOrders drains, ReplicaObservation o) {
        return o.endpoint().leaving() || drains.isDraining(o.endpoint().address());
    }
}
