package org.hornbeamhead.core.placement;

/**
 * A choice of replica and what was predicted of it.
 *
 * @param replica the replica chosen
 * @param missedTokens prompt tokens predicted to be computed
 * @param cachedTokens prompt tokens predicted to be cached
 * @param cachedAgeMillis how old the belief in the cached tokens was
 * @param waitingTokens prompt tokens predicted to be ahead
 * @param firstTokenMillis the predicted time to the first token
 * @param reason why this one
 */
public record PlacementChoice(
        Replica replica,
        int missedTokens,
        int cachedTokens,
        long cachedAgeMillis,
        double waitingTokens,
        double firstTokenMillis,
        PlacementReason reason) {}
