package org.hornbeamhead.standin.engine;

import java.util.Map;

/**
 * What a stand-in engine counted since its start.
 *
 * @param accepted requests accepted
 * @param acceptedByUser requests accepted, by the user that they name; those that name none under the empty name
 * @param cancelled requests given up by their callers
 * @param running requests not yet ended
 * @param computedTokens prompt tokens computed
 * @param evictedBlocks blocks evicted from the cache
 * @param refusedOrders orders refused for an old fencing number
 */
public record EngineStats(
        long accepted,
        Map<String, Long> acceptedByUser,
        long cancelled,
        int running,
        long computedTokens,
        long evictedBlocks,
        long refusedOrders) {
    /** Copies the counts, which go on. */
    public EngineStats {
        acceptedByUser = Map.copyOf(acceptedByUser);
    }
}
