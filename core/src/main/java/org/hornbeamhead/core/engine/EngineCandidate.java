package org.hornbeamhead.core.engine;

/**
 * An engine that a request may go to.
 *
 * @param id names one run of the engine
 * @param dataCentre where it stands
 * @param weights the version of the model's weights that it serves
 * @param settled whether the weights were named so long ago that the store beside the engines holds what is in use
 * @param load the work there
 * @param memoryTokens the tokens that fit into its memory
 * @param slots the requests that it runs at once
 * @param replaced whether answers on these weights are worth less, since newer ones were named some time ago
 * @param usableMillis how long requests may still begin on these weights, in milliseconds
 * @param steeredAway whether it is about to change its weights, so that new requests would be refused or delay it
 */
public record EngineCandidate(
        String id,
        String dataCentre,
        long weights,
        boolean settled,
        EngineLoad load,
        long memoryTokens,
        int slots,
        boolean replaced,
        long usableMillis,
        boolean steeredAway) {}
