package org.hornbeamhead.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamhead.core.prefix.PrefixChain;

/**
 * The placement of this system: the shared beginning picks a few replicas off the ring, the dossier orders them, and
 * the request goes to the one that recomputes least among those that meet the target. When none meets it, the fastest
 * of a wider set is taken and the beginning's set grows.
 */
public final class PrefixPlacement implements PlacementPolicy {
    /**
     * The share of the target that a queue may fill before a prefix spills; the rest is for what cannot be foreseen.
     */
    private static final double SPILL_SHARE = 0.5;

    private static final double IDLE_SHARE = 0.1;
    private static final int SPILL_EXTRA = 3;
    private static final int PASSED_OVER = 8;

    private final PrefixWidths widths = new PrefixWidths();

    @Override
    public Optional<PlacementChoice> choose(
            ReplicaTable table, PrefixChain chain, PlacementTarget target, Set<String> excluded) {
        long now = table.clock().monotonicMillis();
        long house = chain.house().key();
        int width = widths.width(house);
        List<PlacementChoice> own = score(table, chain, excluded, width, now);
        double limit = target.firstTokenMillis() * SPILL_SHARE;
        Optional<PlacementChoice> cheapest = own.stream()
                .filter(c -> target.batch() || queueMillis(c, now) <= limit)
                .min(byRecomputation(chain));
        if (cheapest.isPresent()) {
            narrowWhenIdle(own, house, limit, now);
            return cheapest;
        }
        widths.widen(house, table.ring().size(), now);
        return score(table, chain, excluded, width + SPILL_EXTRA, now).stream()
                .min(Comparator.comparingDouble(PlacementChoice::firstTokenMillis))
                .map(PrefixPlacement::spilled);
    }

    private static List<PlacementChoice> score(
            ReplicaTable table, PrefixChain chain, Set<String> excluded, int width, long now) {
        // More of the ring is walked than wanted, so that replicas that take no work are passed over.
        List<Replica> near = table.ring().walk(chain.house().key(), width + PASSED_OVER + excluded.size()).stream()
                .filter(address -> !excluded.contains(address))
                .flatMap(address -> table.find(address).stream())
                .filter(replica -> replica.takesWork(now))
                .toList();
        List<Replica> warm = near.stream()
                .filter(replica -> replica.isWarmFor(now, chain.dossier().key()))
                .toList();
        return (warm.isEmpty() ? near : warm)
                .stream()
                        .limit(width)
                        .map(replica -> predict(replica, chain, now, PlacementReason.LEAST_RECOMPUTED))
                        .toList();
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
        int missed = replica.missedTokens(chain, now);
        return new PlacementChoice(
                replica,
                missed,
                chain.tokens() - missed,
                replica.cached().ageMillis(chain, now),
                replica.waitingTokens(now),
                replica.firstTokenMillis(missed, now),
                reason);
    }

    private static double queueMillis(PlacementChoice choice, long now) {
        return choice.replica().firstTokenMillis(0, now);
    }

    private static Comparator<PlacementChoice> byRecomputation(PrefixChain chain) {
        long dossier = chain.dossier().key();
        return Comparator.comparingInt(PlacementChoice::missedTokens)
                .thenComparingLong(
                        c -> ReplicaRing.mix(dossier, c.replica().address().hashCode()));
    }

    private void narrowWhenIdle(List<PlacementChoice> own, long house, double limit, long now) {
        if (own.stream().allMatch(c -> queueMillis(c, now) < limit * IDLE_SHARE)) {
            widths.narrow(house, now);
        }
    }

    private static PlacementChoice spilled(PlacementChoice c) {
        return new PlacementChoice(
                c.replica(),
                c.missedTokens(),
                c.cachedTokens(),
                c.cachedAgeMillis(),
                c.waitingTokens(),
                c.firstTokenMillis(),
                PlacementReason.SPILLED);
    }
}
