package org.hornbeamhead.core.engine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * One router's view of the cached shared prefixes: which engines prefilled each one lately, and whether the KV store
 * has it. Owned by one thread.
 */
public final class PrefixCacheTracker {
    /**
     * Maximum number of tracked prefixes, the least recently used dropped first; limits the memory use to some
     * megabytes.
     */
    private static final int MAX_PREFIXES = 20_000;
    /**
     * Time for which an engine is expected to hold a prefix. Half of its 94,000 tokens is free beside running requests,
     * and about 15,000 new ones arrive a second in the deployments. After this time a fetch is assumed.
     */
    private static final long ENGINE_CACHE_MILLIS = 4_000;
    /**
     * Time from the end of a prefill until another engine can fetch the prefix; the transfer to the store takes some 40
     * ms.
     */
    private static final long STORE_TRANSFER_MILLIS = 150;

    /**
     * Time for which a prefix is expected to stay in the store. Each request that saves its blocks also saves those of
     * its own part, which no other request uses and which evict others; the store's entries turn over in 20 s.
     */
    private static final long STORE_RETENTION_MILLIS = 15_000;

    /**
     * Time for which an engine is offered as a source. It is shorter than the time in which the engine's cache turns
     * over, since a fetch that finds nothing costs a second prefill.
     */
    private static final long ENGINE_FETCH_MILLIS = 2_500;

    /** The time until which the link of each store is busy, by the store's address. */
    private final Map<String, Double> linkBusyUntil = new HashMap<>();

    private final boolean storeFilled;
    private long startedAt = -1;
    private final Map<Long, Long> savedAt = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    private final Map<Long, Map<String, Long>> readyAt = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<String, Long>> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    /**
     * Creates a tracker without any prefix.
     *
     * @param storeFilled whether other routers, or this one before a restart, may have filled the store
     */
    public PrefixCacheTracker(boolean storeFilled) {
        this.storeFilled = storeFilled;
    }

    /**
     * Returns a copy with what is known of some prefixes. Reading it changes neither the order in which this tracker
     * drops prefixes nor the time of its first use.
     *
     * @param prefixes hashes of the prefixes with their salts
     * @return the copy
     */
    PrefixCacheTracker copyOf(Set<Long> prefixes) {
        PrefixCacheTracker copy = new PrefixCacheTracker(storeFilled);
        copy.startedAt = startedAt;
        copy.linkBusyUntil.putAll(linkBusyUntil);
        // Looking prefixes up by their keys would make them the most recently used ones.
        savedAt.forEach((prefix, at) -> {
            if (prefixes.contains(prefix)) {
                copy.savedAt.put(prefix, at);
            }
        });
        readyAt.forEach((prefix, engines) -> {
            if (prefixes.contains(prefix)) {
                copy.readyAt.put(prefix, new HashMap<>(engines));
            }
        });
        return copy;
    }

    /**
     * Returns whether a prefix may be assumed to be in the store although this router has not seen it.
     *
     * <p>After a restart of all routers none of them knows what the store holds. Without this assumption, engines would
     * spend seconds on prefills of prefixes that the store holds. Prefixes in use before the start count as stored, but
     * not those of weights that were named just before, which are not there yet. Each is still saved once, since a
     * prefix that is missing after all would otherwise be prefilled by every engine that gets it.
     */
    private boolean assumedInStore(boolean storeWarm, long nowMillis) {
        if (startedAt < 0) {
            startedAt = nowMillis;
        }
        return storeFilled && storeWarm && nowMillis - startedAt < STORE_RETENTION_MILLIS;
    }

    /**
     * Records that a prefix was sent to an engine.
     *
     * <p>The prefix counts as available from the time at which the engine is predicted to have prefilled it. If it
     * counted from the time of sending, other engines would fetch it while the first one has a queue, find nothing, and
     * prefill it again.
     *
     * @param prefixHash a hash of the prefix with its salt
     * @param engine the engine
     * @param readyMillis the monotonic time at which the engine will have prefilled it, as predicted
     */
    public void recordSent(long prefixHash, String engine, long readyMillis) {
        readyAt.computeIfAbsent(prefixHash, b -> new HashMap<>(4)).put(engine, readyMillis);
    }

    /**
     * Records that an engine rejected a request, so that it neither prefilled the prefix nor saved it to the store.
     *
     * @param prefixHash the prefix
     * @param engine the engine
     */
    public void recordRejected(long prefixHash, String engine) {
        Map<String, Long> engines = readyAt.get(prefixHash);
        if (engines != null && engines.remove(engine) != null && engines.isEmpty()) {
            readyAt.remove(prefixHash);
            savedAt.remove(prefixHash);
        }
    }

    /**
     * Records that a request with this prefix was sent, so that its blocks are saved to the store unless they were
     * saved lately.
     *
     * @param prefixHash the prefix
     * @param nowMillis the monotonic time
     */
    public void recordSaved(long prefixHash, long nowMillis) {
        Long at = savedAt.get(prefixHash);
        if (at == null || nowMillis - at > STORE_RETENTION_MILLIS) {
            savedAt.put(prefixHash, nowMillis);
        }
    }

    /**
     * Returns whether the next request should save its blocks to the store.
     *
     * @param prefixHash the prefix
     * @param nowMillis the monotonic time
     * @return whether no known request did so lately
     */
    public boolean shouldSave(long prefixHash, long nowMillis) {
        Long at = savedAt.get(prefixHash);
        return at == null || nowMillis - at > STORE_RETENTION_MILLIS;
    }

    /**
     * Returns whether an engine should hold a prefix.
     *
     * @param prefixHash the prefix
     * @param engine the engine
     * @param nowMillis the monotonic time
     * @return whether it prefilled the prefix lately, or will do so before it starts another request
     */
    public boolean isCachedAt(long prefixHash, String engine, long nowMillis) {
        Long at = readyAt.getOrDefault(prefixHash, Map.of()).get(engine);
        return at != null && nowMillis - at < ENGINE_CACHE_MILLIS;
    }

    /**
     * Finds an engine to fetch a prefix from. Its link is faster than the store's, which all engines share, and idle.
     *
     * @param prefixHash the prefix
     * @param usable returns whether an engine may be used as a source
     * @param nowMillis the monotonic time
     * @return the engine that prefilled it last, if it has had time to do so and is not expected to have evicted it
     */
    public Optional<String> findHolder(long prefixHash, Predicate<String> usable, long nowMillis) {
        return readyAt.getOrDefault(prefixHash, Map.of()).entrySet().stream()
                .filter(e -> usable.test(e.getKey()))
                .filter(e -> nowMillis - e.getValue() > STORE_TRANSFER_MILLIS
                        && nowMillis - e.getValue() < ENGINE_FETCH_MILLIS)
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }

    /**
     * Predicts how long a fetch from a store waits for other fetches.
     *
     * @param store the store's address
     * @param nowMillis the monotonic time
     * @return milliseconds, as far as the fetches of all routers are known
     */
    public double storeWaitMillis(String store, long nowMillis) {
        return Math.max(0, linkBusyUntil.getOrDefault(store, 0.0) - nowMillis);
    }

    /**
     * Records a fetch from a store, by this router or another.
     *
     * @param store the store's address
     * @param millis how long the fetch occupies the store's link, in milliseconds
     * @param nowMillis the monotonic time
     */
    public void recordFetch(String store, double millis, long nowMillis) {
        linkBusyUntil.merge(
                store, nowMillis + millis, (busyUntil, added) -> Math.max(busyUntil, (double) nowMillis) + millis);
    }

    /**
     * Returns whether a prefix can be fetched from the store.
     *
     * @param prefixHash the prefix
     * @param storeWarm whether its weights were named long enough ago for the store to hold what is in use
     * @param nowMillis the monotonic time
     * @return whether an engine had time to prefill it and to save it to the store
     */
    public boolean isInStore(long prefixHash, boolean storeWarm, long nowMillis) {
        return assumedInStore(storeWarm, nowMillis)
                || readyAt.getOrDefault(prefixHash, Map.of()).values().stream()
                        .anyMatch(at -> nowMillis - at > STORE_TRANSFER_MILLIS);
    }

    /**
     * Returns whether a prefix was never sent to any engine.
     *
     * @param prefixHash the prefix
     * @return whether the engine that gets it first prefills it
     */
    public boolean neverSent(long prefixHash) {
        return !readyAt.containsKey(prefixHash);
    }
}
