package org.hornbeamhead.core.placement;

import java.util.Optional;
import java.util.Set;
import org.hornbeamhead.core.prefix.PrefixChain;

/** Chooses a replica of a pool for a prompt. */
@FunctionalInterface
public interface PlacementPolicy {
    /**
     * Chooses a replica.
     *
     * @param table the pool's replicas
     * @param chain the prompt's prefix levels
     * @param target the target of the request's class of work
     * @param excluded the addresses of replicas that were already tried
     * @return the choice; empty if no replica accepts work
     */
    Optional<PlacementChoice> choose(
            ReplicaTable table, PrefixChain chain, PlacementTarget target, Set<String> excluded);
}
