package org.hornbeamhead.core.placement;

/**
 * The replica chosen for a request, with the predictions on which the choice is based.
 *
 * @param replica the chosen replica
 * @param uncachedTokens the number of prompt tokens predicted to be computed
 * @param cacheEstimate the estimate of what is cached at the replica
 * @param waitingTokens the number of prompt tokens predicted to be queued ahead of the request
 * @param firstTokenMillis the predicted time to the first token, in milliseconds
 * @param reason why the replica was chosen
 */
public record PlacementChoice(
        Replica replica,
        int uncachedTokens,
        CacheEstimate cacheEstimate,
        double waitingTokens,
        double firstTokenMillis,
        PlacementReason reason) {}
