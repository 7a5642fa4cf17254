package org.hornbeamhead.standin.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The prefix cache of an engine: blocks by their chained hashes, the least recently used evicted first. */
final class BlockCache {
    static final int BLOCK_TOKENS = 16;

    private final Map<Long, Long> usedAtMillis = new LinkedHashMap<>(1024, 0.75f, true);
    private final int capacityBlocks;
    private final long idleMillis;
    private long evicted;

    BlockCache(EngineSpeed speed) {
        this.capacityBlocks = speed.cacheTokens() / BLOCK_TOKENS;
        this.idleMillis = speed.cacheMillis();
    }

    /** Counts the leading blocks that are cached, and marks them as used. */
    int hits(BlockChain chain, long nowMillis) {
        evictIdle(nowMillis);
        int hits = 0;
        while (hits < chain.length() && usedAtMillis.containsKey(chain.get(hits))) {
            usedAtMillis.put(chain.get(hits), nowMillis);
            hits++;
        }
        return hits;
    }

    /** Counts the leading blocks that are cached, and marks nothing. */
    int peek(BlockChain chain) {
        int hits = 0;
        while (hits < chain.length() && usedAtMillis.containsKey(chain.get(hits))) {
            hits++;
        }
        return hits;
    }

    void store(BlockChain chain, long nowMillis) {
        for (int i = 0; i < chain.length(); i++) {
            usedAtMillis.put(chain.get(i), nowMillis);
        }
        Iterator<Long> eldest = usedAtMillis.keySet().iterator();
        while (usedAtMillis.size() > capacityBlocks) {
            eldest.next();
            eldest.remove();
            evicted++;
        }
    }

    private void evictIdle(long nowMillis) {
        Iterator<Long> eldest = usedAtMillis.values().iterator();
        while (eldest.hasNext() && nowMillis - eldest.next() > idleMillis) {
            eldest.remove();
            evicted++;
        }
    }

    void clear() {
        usedAtMillis.clear();
    }

    int blocks() {
        return usedAtMillis.size();
    }

    long evicted() {
        return evicted;
    }
}
