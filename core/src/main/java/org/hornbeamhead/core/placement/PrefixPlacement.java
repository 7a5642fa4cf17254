package org.hornbeamhead.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamhead.core.prefix.PrefixChain;

/**
 * The default placement policy, which balances prefix cache hits against queueing. The shared prefix (the house part)
 * selects replicas from the hash ring, as many as its request rate can keep cached; the dossier ranks them in an order
 * that is always the same. The request goes to the first or second replica of that order, whichever has the lower cost
 * of waiting and of computing uncached tokens. If waiting at both would use up too much of the target, all replicas of
 * the shared prefix are considered, so that a frequently used dossier becomes cached on more of them.
 */
public final class PrefixPlacement implements PlacementPolicy {
    /** The share of the first-token target that waiting may take before more replicas are considered. */
    private static final double SPILL_WAIT_SHARE = 0.5;

    /**
     * The cost of a millisecond of computing relative to one of waiting: computing takes capacity from all requests.
     */
    private static final double INTERACTIVE_COMPUTE_WEIGHT = 8;

    private static final double BATCH_COMPUTE_WEIGHT = 16;
    private static final int PREFERRED_REPLICAS = 2;
    private static final int SPARE_CANDIDATES = 8;
    private static final int MAX_SORTED_REPLICAS = 64;
    private static final int MAX_SPILL_REPLICAS = 8;

    private final PrefixReplicaCounts replicaCounts = new PrefixReplicaCounts();
    private int routerCount = 1;

    /**
     * Sets the number of serving routers. Each is assumed to receive about the same share of the requests for a prefix.
     *
     * @param count the number of routers, including this one
     */
    public void setRouterCount(int count) {
        routerCount = Math.max(1, count);
    }

    @Override
    public Optional<PlacementChoice> choose(
            ReplicaTable table, PrefixChain chain, PlacementTarget target, Set<String> excluded) {
        long now = table.clock().monotonicMillis();
        long house = chain.house().key();
        replicaCounts.recordUse(house, now);
        int replicaCount =
                replicaCounts.replicaCount(house, routerCount, table.ring().size(), now);
        List<Replica> ranked = rankedReplicas(table, chain, excluded, replicaCount, now);
        List<PlacementChoice> preferred = ranked.stream()
                .limit(PREFERRED_REPLICAS)
                .map(r -> predict(r, chain, now, PlacementReason.LEAST_RECOMPUTED))
                .toList();
        Comparator<PlacementChoice> byCost = Comparator.comparingDouble(c -> cost(c, target, now));
        boolean busy =
                preferred.stream().allMatch(c -> waitMillis(c, now) > target.firstTokenMillis() * SPILL_WAIT_SHARE);
        if (!busy || target.batch()) {
            return preferred.stream().min(byCost);
        }
        return ranked.stream()
                .map(r -> predict(r, chain, now, PlacementReason.SPILLED))
                .min(byCost);
    }

    private static List<Replica> rankedReplicas(
            ReplicaTable table, PrefixChain chain, Set<String> excluded, int replicaCount, long now) {
        long dossier = chain.dossier().key();
        if (replicaCount > MAX_SORTED_REPLICAS) {
            // A prefix of such a high rate is cached on nearly all replicas. The dossier's own position on the ring
            // gives the order, at a cost that does not grow with the number of replicas.
            return availableReplicas(table, dossier, dossier, MAX_SPILL_REPLICAS, excluded, now);
        }
        return availableReplicas(table, chain.house().key(), dossier, replicaCount, excluded, now).stream()
                .sorted(Comparator.comparingLong(r -> ReplicaRing.mix(dossier, r.ringKey())))
                .toList();
    }

    /** Returns the next replicas on the ring that accept work. Cold ones are omitted if there are warm ones. */
    private static List<Replica> availableReplicas(
            ReplicaTable table, long key, long dossier, int count, Set<String> excluded, long now) {
        List<Replica> available = table.ring().walk(key, count + SPARE_CANDIDATES + excluded.size()).stream()
                .filter(address -> !excluded.contains(address))
                .flatMap(address -> table.find(address).stream())
                .filter(replica -> replica.acceptsWork(now))
                .toList();
        List<Replica> warm = available.stream()
                .filter(replica -> replica.isWarmFor(now, dossier))
                .toList();
        return (warm.isEmpty() ? available : warm).stream().limit(count).toList();
    }

    /**
     * Predicts the cost of running a prompt on a replica.
     *
     * @param replica the replica
     * @param chain the prompt's prefix levels
     * @param now the monotonic time, in milliseconds
     * @param reason why the replica is considered
     * @return the prediction
     */
    public static PlacementChoice predict(Replica replica, PrefixChain chain, long now, PlacementReason reason) {
        CacheEstimate cacheEstimate = replica.cachedPrefixes().estimate(chain, now);
        int uncached = chain.tokens() - cacheEstimate.expectedTokens();
        return new PlacementChoice(
                replica,
                uncached,
                cacheEstimate,
                replica.waitingTokens(now),
                replica.firstTokenMillis(uncached, now),
                reason);
    }

    private static double waitMillis(PlacementChoice choice, long now) {
        return choice.replica().waitMillis(now);
    }

    private static double cost(PlacementChoice choice, PlacementTarget target, long now) {
        double compute = choice.replica().computeMillis(choice.uncachedTokens());
        return waitMillis(choice, now) + compute * (target.batch() ? BATCH_COMPUTE_WEIGHT : INTERACTIVE_COMPUTE_WEIGHT);
    }
}
