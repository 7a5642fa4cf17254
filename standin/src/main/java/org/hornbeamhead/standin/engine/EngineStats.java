package org.hornbeamhead.standin.engine;

/**
 * What a stand-in engine counted since its start.
 *
 * @param accepted requests accepted
 * @param cancelled requests given up by their callers
 * @param running requests not yet ended
 * @param computedTokens prompt tokens computed
 * @param evictedBlocks blocks evicted from the cache
 * @param refusedOrders orders refused for an old fencing number
 */
public record EngineStats(
        long accepted, long cancelled, int running, long computedTokens, long evictedBlocks, long refusedOrders) {}
