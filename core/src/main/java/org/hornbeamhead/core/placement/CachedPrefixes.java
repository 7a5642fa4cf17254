package org.hornbeamhead.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.prefix.PrefixLevel;

/**
 * What one router believes one incarnation of a replica has cached: the levels of prompts that it sent there, as long
 * as the engine seems to keep them. Bounded in size; the answers' cached-token counts correct it.
 *
 * <p>Engines evict within seconds and say so late. The time an entry is believed is therefore learned: a miss where a
 * hit was expected shortens it, a hit on an old entry lengthens it.
 */
public final class CachedPrefixes {
    private static final int CAPACITY = 4096;
    private static final long FIRST_LIFETIME_MILLIS = 20_000;
    private static final long MIN_LIFETIME_MILLIS = 1_000;
    private static final long MAX_LIFETIME_MILLIS = 300_000;
    private static final double HIT_SHARE = 0.8;

    private record Entry(int tokens, long touchedMillis) {}

    private final Map<Long, Entry> entries = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Entry> eldest) {
            return size() > CAPACITY;
        }
    };
    private long lifetimeMillis = FIRST_LIFETIME_MILLIS;

    /**
     * Predicts how many tokens of a prompt are cached.
     *
     * @param chain the prompt's levels
     * @param nowMillis the monotonic time
     * @return tokens of the deepest level believed to be cached; 0 when none is
     */
    public int cachedTokens(PrefixChain chain, long nowMillis) {
        int deepest = 0;
        for (PrefixLevel level : chain.levels()) {
            Entry entry = entries.get(level.key());
            if (entry == null || nowMillis - entry.touchedMillis() > lifetimeMillis) {
                return deepest;
            }
            deepest = level.tokens();
        }
        return deepest;
    }

    /**
     * Notes that a prompt was sent, and so will be cached.
     *
     * @param chain the prompt's levels
     * @param nowMillis the monotonic time
     */
    public void sent(PrefixChain chain, long nowMillis) {
        chain.levels().forEach(level -> entries.put(level.key(), new Entry(level.tokens(), nowMillis)));
    }

    /**
     * Corrects the belief by what the engine counted.
     *
     * @param predicted the cached tokens that were predicted at dispatch
     * @param actual the cached tokens that the engine counted
     * @param ageMillis how old the deepest believed entry was at dispatch
     */
    public void correct(int predicted, int actual, long ageMillis) {
        if (predicted == 0) {
            return;
        }
        if (actual < predicted * HIT_SHARE) {
            lifetimeMillis = Math.max(MIN_LIFETIME_MILLIS, Math.min(lifetimeMillis, (lifetimeMillis + ageMillis) / 2));
        } else if (ageMillis > lifetimeMillis / 2) {
            lifetimeMillis = Math.min(MAX_LIFETIME_MILLIS, lifetimeMillis + lifetimeMillis / 4);
        }
    }

    /**
     * Tells how long ago the deepest believed level was touched.
     *
     * @param chain the prompt's levels
     * @param nowMillis the monotonic time
     * @return milliseconds; 0 when nothing is believed
     */
    public long ageMillis(PrefixChain chain, long nowMillis) {
        long age = 0;
        for (PrefixLevel level : chain.levels()) {
            Entry entry = entries.get(level.key());
            if (entry == null || nowMillis - entry.touchedMillis() > lifetimeMillis) {
                return age;
            }
            age = nowMillis - entry.touchedMillis();
        }
        return age;
    }

    /**
     * Counts the entries, for metrics.
     *
     * @return the number of levels remembered
     */
    public int size() {
        return entries.size();
    }
}
