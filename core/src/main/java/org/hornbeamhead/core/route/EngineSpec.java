package org.hornbeamhead.core.route;

import java.util.List;

/**
 * What the engines of a service bear.
 *
 * @param slots the requests that run in one batch
 * @param memoryTokens the tokens that fit into an engine's memory, running and cached together
 * @param tokenBytes the bytes that one cached token takes
 * @param linkMbps the speed of an engine's link for cached tokens, in megabits a second
 * @param models the names of the models that it serves
 */
public record EngineSpec(int slots, long memoryTokens, long tokenBytes, double linkMbps, List<String> models) {
    /** Copies the models, so that the figures cannot change. */
    public EngineSpec {
        models = List.copyOf(models);
    }
}
