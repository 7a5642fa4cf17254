package org.hornbeamhead.core.pool;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hornbeamhead.core.config.Pool;
import org.hornbeamhead.core.drain.DrainOrders;

/**
 * Decides which orders bring a pool's replicas into the state that the operators state. A pure function of what is
 * seen: orders are repeated until the replicas are in that state, so that a lost order, or an old one that an engine
 * obeyed, is corrected at the next look.
 */
public final class PoolPlan {
    private PoolPlan() {}

    /**
     * Decides.
     *
     * @param pool what the operators state
     * @param drains the operators' drain orders; empty while they are not known, when only replicas whose host leaves
     *     are given orders, since any other order would tell a replica to take work
     * @param seen what is seen of the replicas
     * @param loadSlots how many loads this pool may have running
     * @param loading replicas that were ordered to load and have not finished
     * @return the orders to give now
     */
    public static List<ReplicaOrder> decide(
            Pool pool,
            Optional<DrainOrders> drains,
            List<ReplicaObservation> seen,
            int loadSlots,
            List<String> loading) {
        DrainOrders known = drains.orElse(DrainOrders.NONE);
        List<ReplicaObservation> decidable = seen.stream()
                .filter(o -> o.report().isPresent())
                .filter(o -> drains.isPresent() || o.endpoint().leaving())
                .toList();
        Stream<ReplicaOrder> loads = decidable.stream()
                .filter(o ->
                        !hasWeights(pool, o) && !loading.contains(o.endpoint().address()))
                .limit(Math.max(0, loadSlots - loading.size()))
                .map(o -> order(pool, known, o, true));
        Stream<ReplicaOrder> corrections = decidable.stream()
                .filter(o -> hasWeights(pool, o) && isDraining(o) != wantsDrain(known, o))
                .map(o -> order(pool, known, o, false));
        return Stream.concat(loads, corrections).toList();
    }

    private static ReplicaOrder order(Pool pool, DrainOrders drains, ReplicaObservation o, boolean load) {
        return new ReplicaOrder(o.endpoint().address(), pool.weights(), wantsDrain(drains, o), load);
    }

    private static boolean hasWeights(Pool pool, ReplicaObservation o) {
        return o.report().filter(r -> r.weights().equals(pool.weights())).isPresent();
    }

    private static boolean isDraining(ReplicaObservation o) {
        return o.report().filter(r -> r.draining()).isPresent();
    }

    private static boolean wantsDrain(DrainOrders drains, ReplicaObservation o) {
        return o.endpoint().leaving() || drains.isDraining(o.endpoint().address());
    }
}
