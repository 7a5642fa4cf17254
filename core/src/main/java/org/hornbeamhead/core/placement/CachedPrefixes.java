package org.hornbeamhead.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.prefix.PrefixLevel;

/**
 * One router's estimate of the prompt prefixes cached by one incarnation of a replica. It records the prefix levels
 * that the router sent to the replica, is bounded in size, and is corrected by the cached-token counts in the
 * responses.
 *
 * <p>Engines evict entries within seconds and report it late. The lifetime of an entry is therefore learned: an
 * unexpected miss shortens it, and a hit on an old entry lengthens it. After that lifetime the hit probability decays
 * gradually instead of dropping to 0, so that, all else being equal, a dossier is still sent to the replica that
 * received it last.
 */
public final class CachedPrefixes {
    private static final int CAPACITY = 4096;
    private static final long INITIAL_LIFETIME_MILLIS = 20_000;
    private static final long MIN_LIFETIME_MILLIS = 1_000;
    private static final long MAX_LIFETIME_MILLIS = 300_000;
    private static final double HIT_RATIO = 0.8;
    private static final double LIFETIME_GROWTH_FACTOR = 1.25;

    private record Entry(int tokens, long dispatchedMillis) {}

    private final Map<Long, Entry> entries = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Entry> eldest) {
            return size() > CAPACITY;
        }
    };
    private long lifetimeMillis = INITIAL_LIFETIME_MILLIS;

    /**
     * Estimates how much of a prompt is cached.
     *
     * @param chain the prompt's prefix levels
     * @param nowMillis the monotonic time, in milliseconds
     * @return the estimate for the sent level with the most expected tokens; the deepest one on a tie
     */
    public CacheEstimate estimate(PrefixChain chain, long nowMillis) {
        CacheEstimate best = CacheEstimate.NONE;
        for (PrefixLevel level : chain.levels()) {
            Entry entry = entries.get(level.key());
            if (entry == null) {
                return best;
            }
            long age = nowMillis - entry.dispatchedMillis();
            CacheEstimate deeper = new CacheEstimate(level.tokens(), age, hitProbability(age));
            best = deeper.expectedTokens() >= best.expectedTokens() ? deeper : best;
        }
        return best;
    }

    private double hitProbability(long ageMillis) {
        if (ageMillis <= lifetimeMillis) {
            return 1;
        }
        double lifetimeRatio = (double) lifetimeMillis / ageMillis;
        return lifetimeRatio * lifetimeRatio;
    }

    /**
     * Records that a prompt was sent to the replica, which will therefore cache it.
     *
     * @param chain the prompt's prefix levels
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void recordDispatch(PrefixChain chain, long nowMillis) {
        chain.levels().forEach(level -> entries.put(level.key(), new Entry(level.tokens(), nowMillis)));
    }

    /**
     * Adjusts the learned lifetime to the number of cached tokens that the engine reported.
     *
     * @param estimated the estimate at dispatch
     * @param actualTokens the number of cached tokens that the engine reported
     */
    public void recordCachedTokens(CacheEstimate estimated, int actualTokens) {
        if (estimated.tokens() == 0) {
            return;
        }
        boolean hit = actualTokens >= estimated.tokens() * HIT_RATIO;
        long age = estimated.ageMillis();
        if (hit && age > lifetimeMillis / 2) {
            lifetimeMillis =
                    Math.min(MAX_LIFETIME_MILLIS, (long) (Math.max(lifetimeMillis, age) * LIFETIME_GROWTH_FACTOR));
        } else if (!hit && age < lifetimeMillis) {
            lifetimeMillis = Math.max(MIN_LIFETIME_MILLIS, (lifetimeMillis + age) / 2);
        }
    }

    /**
     * Returns the number of entries, for metrics.
     *
     * @return the number of recorded prefix levels
     */
    public int size() {
        return entries.size();
    }
}
