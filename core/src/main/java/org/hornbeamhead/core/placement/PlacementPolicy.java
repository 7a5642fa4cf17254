package org.hornbeamhead.core.placement;

import java.util.Optional;
import java.util.Set;
import org.hornbeamhead.core.prefix.PrefixChain;

/** Chooses a replica of a pool for a prompt. */
@FunctionalInterface
public interface PlacementPolicy {
    /**
     * Chooses.
     *
     * @param table the pool's replicas
     * @param chain the prompt's levels
     * @param target the class's target
     * @param excluded addresses that were tried already
     * @return the choice; empty when no replica takes work
     */
    Optional<PlacementChoice> choose(
            ReplicaTable table, PrefixChain chain, PlacementTarget target, Set<String> excluded);
}
