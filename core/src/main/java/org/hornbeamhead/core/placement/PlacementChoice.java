package org.hornbeamhead.core.placement;

/**
 * A choice of replica and what was predicted of it.
 *
 * @param replica the replica chosen
 * @param missedTokens prompt tokens predicted to be computed
 * @param belief what was believed to be cached
 * @param waitingTokens prompt tokens predicted to be ahead
 * @param firstTokenMillis the predicted time to the first token
 * @param reason why this one
 */
public record PlacementChoice(
        Replica replica,
        int missedTokens,
        CacheBelief belief,
        double waitingTokens,
        double firstTokenMillis,
        PlacementReason reason) {}
