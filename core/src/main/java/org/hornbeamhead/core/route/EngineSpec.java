package org.hornbeamhead.core.route;

import java.util.List;

/**
 * The capacity of the engines of a service.
 *
 * @param slots the maximum number of requests in one batch
 * @param kvCapacityTokens the KV cache capacity of an engine in tokens, for running and cached requests together
 * @param kvTokenBytes the size of one token in the KV cache, in bytes
 * @param linkMbps the bandwidth of an engine's link for KV cache transfers, in megabits per second
 * @param models the names of the models that the engines serve
 */
public record EngineSpec(int slots, long kvCapacityTokens, long kvTokenBytes, double linkMbps, List<String> models) {
    /** Creates a specification with a copy of the models. */
    public EngineSpec {
        models = List.copyOf(models);
    }
}
