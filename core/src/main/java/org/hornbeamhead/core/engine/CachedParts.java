package org.hornbeamhead.core.engine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * What one router believes of cached shared beginnings: which engines read one lately, and whether any did, so that the
 * store beside the engines keeps it. Owned by one thread.
 */
public final class CachedParts {
    /** Beginnings that are remembered, the least recently used dropped first; bounds the memory to some megabytes. */
    private static final int MAX_BEGINNINGS = 20_000;
    /**
     * An engine's memory turns over in about this time: half of 94,000 tokens is left beside running requests, and
     * about 15,000 new ones come a second on the sheets. Later, a fetch is counted on.
     */
    private static final long AT_ENGINE_MILLIS = 4_000;
    /**
     * From the end of reading a beginning until another engine can fetch it; sending it to the store takes some 40 ms.
     */
    private static final long TO_STORE_MILLIS = 150;

    /**
     * How long a beginning is counted on to stay in the store. Each request that sends its parts there also sends its
     * own, which nobody asks for again, and they push others out; the store at the sheets' size turns over in 20 s.
     */
    private static final long IN_STORE_MILLIS = 15_000;

    /** Less than the time in which an engine's memory turns over: a fetch that finds nothing costs a second reading. */
    private static final long HELD_MILLIS = 2_500;

    /** Until when the link of each store is busy, by its address. */
    private final Map<String, Double> linkUntil = new HashMap<>();

    private final boolean inherits;
    private long startedAt = -1;
    private final Map<Long, Long> savedAt = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > MAX_BEGINNINGS;
        }
    };

    private final Map<Long, Map<String, Long>> beginnings = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<String, Long>> eldest) {
            return size() > MAX_BEGINNINGS;
        }
    };

    /**
     * Makes a belief without any beginning.
     *
     * @param inherits whether other routers, or this one before a restart, have filled the store already
     */
    public CachedParts(boolean inherits) {
        this.inherits = inherits;
    }

    /**
     * Tells whether what is not known may be taken as kept.
     *
     * <p>Failure: all routers restart together, none knows what the store holds, and beginnings are read wherever there
     * is room. Symptom: engines read for seconds what lies in the store. What was in use before the start counts as
     * kept, but not what belongs to weights that were named just before: that is not there yet. It is saved all the
     * same, once for each beginning, since what was not kept would otherwise be read again by each engine that gets it.
     */
    private boolean inherited(boolean settled, long nowMillis) {
        if (startedAt < 0) {
            startedAt = nowMillis;
        }
        return inherits && settled && nowMillis - startedAt < IN_STORE_MILLIS;
    }

    /**
     * Notes that a beginning was sent to an engine.
     *
     * <p>Failure: a beginning counts as readable elsewhere from the moment it was sent, while the engine has a queue.
     * Symptom: others fetch it, find nothing, and read it again. It counts from the time at which it will have been
     * read.
     *
     * @param beginning a hash of the beginning with its salt
     * @param engine the engine
     * @param readyMillis the monotonic time at which the engine will have read it, as predicted
     */
    public void sent(long beginning, String engine, long readyMillis) {
        beginnings.computeIfAbsent(beginning, b -> new HashMap<>(4)).put(engine, readyMillis);
    }

    /**
     * Notes that an engine did not take a request, so that it neither read the beginning nor sent it to the store.
     *
     * @param beginning the beginning
     * @param engine the engine
     */
    public void refused(long beginning, String engine) {
        Map<String, Long> engines = beginnings.get(beginning);
        if (engines != null && engines.remove(engine) != null && engines.isEmpty()) {
            beginnings.remove(beginning);
            savedAt.remove(beginning);
        }
    }

    /**
     * Notes that a beginning was sent with the order to save its parts, or so that others would not save it again.
     *
     * @param beginning the beginning
     * @param nowMillis the monotonic time
     */
    public void saved(long beginning, long nowMillis) {
        Long at = savedAt.get(beginning);
        if (at == null || nowMillis - at > IN_STORE_MILLIS) {
            savedAt.put(beginning, nowMillis);
        }
    }

    /**
     * Tells whether the next request should send its parts to the store.
     *
     * @param beginning the beginning
     * @param nowMillis the monotonic time
     * @return whether no request that is known did so lately
     */
    public boolean saveNow(long beginning, long nowMillis) {
        Long at = savedAt.get(beginning);
        return at == null || nowMillis - at > IN_STORE_MILLIS;
    }

    /**
     * Tells whether an engine should hold a beginning.
     *
     * @param beginning the beginning
     * @param engine the engine
     * @param nowMillis the monotonic time
     * @return whether it read it lately, or will before it comes to another request
     */
    public boolean atEngine(long beginning, String engine, long nowMillis) {
        Long at = beginnings.getOrDefault(beginning, Map.of()).get(engine);
        return at != null && nowMillis - at < AT_ENGINE_MILLIS;
    }

    /**
     * Finds an engine to fetch a beginning from. Its link is faster than the store's, which all engines share, and
     * idle.
     *
     * @param beginning the beginning
     * @param usable tells whether an engine may be asked
     * @param nowMillis the monotonic time
     * @return the engine that read it last, if it has had time to read it and none to drop it
     */
    public Optional<String> holder(long beginning, Predicate<String> usable, long nowMillis) {
        return beginnings.getOrDefault(beginning, Map.of()).entrySet().stream()
                .filter(e -> usable.test(e.getKey()))
                .filter(e -> nowMillis - e.getValue() > TO_STORE_MILLIS && nowMillis - e.getValue() < HELD_MILLIS)
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }

    /**
     * Tells how long a fetch from a store waits for others.
     *
     * @param store the store's address
     * @param nowMillis the monotonic time
     * @return milliseconds, as far as the fetches of all routers are known
     */
    public double storeWaitMillis(String store, long nowMillis) {
        return Math.max(0, linkUntil.getOrDefault(store, 0.0) - nowMillis);
    }

    /**
     * Notes a fetch from a store, of this router or another.
     *
     * @param store the store's address
     * @param millis how long the store's link is busy with it, in milliseconds
     * @param nowMillis the monotonic time
     */
    public void fetching(String store, double millis, long nowMillis) {
        linkUntil.merge(store, nowMillis + millis, (until, fresh) -> Math.max(until, (double) nowMillis) + millis);
    }

    /**
     * Tells whether a beginning can be fetched.
     *
     * @param beginning the beginning
     * @param settled whether its weights were named some time ago
     * @param nowMillis the monotonic time
     * @return whether an engine had time to read it and to send it to the store
     */
    public boolean kept(long beginning, boolean settled, long nowMillis) {
        return inherited(settled, nowMillis)
                || beginnings.getOrDefault(beginning, Map.of()).values().stream()
                        .anyMatch(at -> nowMillis - at > TO_STORE_MILLIS);
    }

    /**
     * Tells whether a beginning was never sent anywhere.
     *
     * @param beginning the beginning
     * @return whether whoever gets it reads it first
     */
    public boolean unknown(long beginning) {
        return !beginnings.containsKey(beginning);
    }
}
