package org.hornbeamhead.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamhead.core.prefix.PrefixChain;

/**
 * The placement of this system. The shared beginning picks replicas off the ring, as many as its rate keeps warm; the
 * dossier orders them, always the same way. The request goes to the first or second in that order, whichever costs
 * less: waiting, and computing what is missed. When both would use up too much of the target, all of the beginning's
 * replicas are looked at, and a hot dossier comes to stand on more of them.
 */
public final class PrefixPlacement implements PlacementPolicy {
    /** The share of the target that waiting may fill before more replicas are looked at. */
    private static final double SPILL_SHARE = 0.5;

    /** How much dearer a millisecond of computing is than one of waiting, since it takes capacity from all. */
    private static final double INTERACTIVE_DEARNESS = 8;

    private static final double BATCH_DEARNESS = 16;
    private static final int CHOICES = 2;
    private static final int PASSED_OVER = 8;
    private static final int MOST_ORDERED = 64;
    private static final int MOST_SPILLED = 8;

    private final PrefixWidths widths = new PrefixWidths();
    private int routers = 1;

    /**
     * Tells how many routers serve, which each see about the same share of a beginning's uses.
     *
     * @param serving the number of routers, this one included
     */
    public void routers(int serving) {
        routers = Math.max(1, serving);
    }

    @Override
    public Optional<PlacementChoice> choose(
            ReplicaTable table, PrefixChain chain, PlacementTarget target, Set<String> excluded) {
        long now = table.clock().monotonicMillis();
        long house = chain.house().key();
        widths.used(house, now);
        int width = widths.width(house, routers, table.ring().size(), now);
        List<Replica> ordered = ordered(table, chain, excluded, width, now);
        List<PlacementChoice> first = ordered.stream()
                .limit(CHOICES)
                .map(r -> predict(r, chain, now, PlacementReason.LEAST_RECOMPUTED))
                .toList();
        Comparator<PlacementChoice> byCost = Comparator.comparingDouble(c -> cost(c, target, now));
        boolean busy = first.stream().allMatch(c -> waitMillis(c, now) > target.firstTokenMillis() * SPILL_SHARE);
        if (!busy || target.batch()) {
            return first.stream().min(byCost);
        }
        return ordered.stream()
                .map(r -> predict(r, chain, now, PlacementReason.SPILLED))
                .min(byCost);
    }

    private static List<Replica> ordered(
            ReplicaTable table, PrefixChain chain, Set<String> excluded, int width, long now) {
        long dossier = chain.dossier().key();
        if (width > MOST_ORDERED) {
            // So hot a beginning stands everywhere: the dossier's own place on the ring gives the order, at a cost that
            // does not grow with the width.
            return taking(table, dossier, dossier, MOST_SPILLED, excluded, now);
        }
        return taking(table, chain.house().key(), dossier, width, excluded, now).stream()
                .sorted(Comparator.comparingLong(r -> ReplicaRing.mix(dossier, r.ringKey())))
                .toList();
    }

    /** Walks the ring from a key to the replicas that take work; cold ones are left out while there are warm ones. */
    private static List<Replica> taking(
            ReplicaTable table, long key, long dossier, int count, Set<String> excluded, long now) {
        List<Replica> near = table.ring().walk(key, count + PASSED_OVER + excluded.size()).stream()
                .filter(address -> !excluded.contains(address))
                .flatMap(address -> table.find(address).stream())
                .filter(replica -> replica.takesWork(now))
                .toList();
        List<Replica> warm =
                near.stream().filter(replica -> replica.isWarmFor(now, dossier)).toList();
        return (warm.isEmpty() ? near : warm).stream().limit(count).toList();
    }

    /**
     * Predicts what a replica would do with a prompt.
     *
     * @param replica the replica
     * @param chain the prompt's levels
     * @param now the monotonic time, in milliseconds
     * @param reason why the replica is looked at
     * @return the prediction
     */
    public static PlacementChoice predict(Replica replica, PrefixChain chain, long now, PlacementReason reason) {
        CacheBelief belief = replica.cached().belief(chain, now);
        int missed = chain.tokens() - belief.expectedTokens();
        return new PlacementChoice(
                replica, missed, belief, replica.waitingTokens(now), replica.firstTokenMillis(missed, now), reason);
    }

    private static double waitMillis(PlacementChoice choice, long now) {
        return choice.replica().waitMillis(now);
    }

    private static double cost(PlacementChoice choice, PlacementTarget target, long now) {
        double compute = choice.replica().computeMillis(choice.missedTokens());
        return waitMillis(choice, now) + compute * (target.batch() ? BATCH_DEARNESS : INTERACTIVE_DEARNESS);
    }
}
