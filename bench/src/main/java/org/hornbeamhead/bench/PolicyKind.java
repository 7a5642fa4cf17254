package org.hornbeamhead.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.placement.PlacementChoice;
import org.hornbeamhead.core.placement.PlacementPolicy;
import org.hornbeamhead.core.placement.PlacementReason;
import org.hornbeamhead.core.placement.PrefixPlacement;
import org.hornbeamhead.core.placement.Replica;
import org.hornbeamhead.core.placement.ReplicaTable;
import org.hornbeamhead.core.prefix.PrefixChain;

/**
 * A policy to compare: the system's, or a naive one.
 *
 * @param label its name in the table
 * @param admits whether requests are refused or kept waiting at the door
 * @param make makes a policy for one router
 */
record PolicyKind(String label, boolean admits, Function<RandomGenerator, PlacementPolicy> make) {
    private static final int ROUTERS = 8;

    /** The system's placement with its admission and alone, then the baselines. */
    static final List<PolicyKind> ALL = List.of(
            new PolicyKind("prefix, admission", true, random -> prefix()),
            new PolicyKind("prefix", false, random -> prefix()),
            new PolicyKind(
                    "random",
                    false,
                    random -> (table, chain, target, excluded) ->
                            pick(table, chain, live -> live.get(random.nextInt(live.size())))),
            new PolicyKind(
                    "least loaded",
                    false,
                    random -> (table, chain, target, excluded) -> pick(table, chain, live -> live.stream()
                            .min(Comparator.comparingDouble(
                                    r -> r.waitingTokens(table.clock().monotonicMillis())))
                            .orElseThrow())),
            new PolicyKind(
                    "plain hash",
                    false,
                    random -> (table, chain, target, excluded) -> pick(
                            table,
                            chain,
                            live -> live.get((int) Math.floorMod(chain.dossier().key(), (long) live.size())))));

    private static PlacementPolicy prefix() {
        PrefixPlacement placement = new PrefixPlacement();
        placement.setRouterCount(ROUTERS);
        return placement;
    }

    private static Optional<PlacementChoice> pick(
            ReplicaTable table, PrefixChain chain, Function<List<Replica>, Replica> which) {
        long now = table.clock().monotonicMillis();
        List<Replica> live = new ArrayList<>(
                table.replicas().stream().filter(r -> r.acceptsWork(now)).toList());
        return live.isEmpty()
                ? Optional.empty()
                : Optional.of(PrefixPlacement.predict(which.apply(live), chain, now, PlacementReason.BASELINE));
    }

    PlacementPolicy policy(RandomGenerator random) {
        return make.apply(random);
    }
}
