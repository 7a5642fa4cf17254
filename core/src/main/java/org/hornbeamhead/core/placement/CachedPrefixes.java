package org.hornbeamhead.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.prefix.PrefixLevel;

/**
 * What one router believes one incarnation of a replica has cached: the levels of prompts that it sent there. Bounded
 * in size; the answers' cached-token counts correct it.
 *
 * <p>Engines evict within seconds and say so late. The time an entry is believed is therefore learned: a miss where a
 * hit was expected shortens it, a hit on an old entry lengthens it. Beyond that time the belief fades instead of
 * ending, so that a dossier is still sent where it was last, all else being equal.
 */
public final class CachedPrefixes {
    private static final int CAPACITY = 4096;
    private static final long FIRST_LIFETIME_MILLIS = 20_000;
    private static final long MIN_LIFETIME_MILLIS = 1_000;
    private static final long MAX_LIFETIME_MILLIS = 300_000;
    private static final double HIT_SHARE = 0.8;
    private static final double GROWTH = 1.25;

    private record Entry(int tokens, long touchedMillis) {}

    private final Map<Long, Entry> entries = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Entry> eldest) {
            return size() > CAPACITY;
        }
    };
    private long lifetimeMillis = FIRST_LIFETIME_MILLIS;

    /**
     * Tells what is believed of a prompt.
     *
     * @param chain the prompt's levels
     * @param nowMillis the monotonic time
     * @return the belief in the deepest level that was sent
     */
    public CacheBelief belief(PrefixChain chain, long nowMillis) {
        CacheBelief belief = CacheBelief.NONE;
        for (PrefixLevel level : chain.levels()) {
            Entry entry = entries.get(level.key());
            if (entry == null) {
                return belief;
            }
            long age = nowMillis - entry.touchedMillis();
            CacheBelief deeper = new CacheBelief(level.tokens(), age, likelihood(age));
            belief = deeper.expectedTokens() >= belief.expectedTokens() ? deeper : belief;
        }
        return belief;
    }

    private double likelihood(long ageMillis) {
        if (ageMillis <= lifetimeMillis) {
            return 1;
        }
        double beyond = (double) lifetimeMillis / ageMillis;
        return beyond * beyond;
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
     * @param believed what was believed at dispatch
     * @param actualTokens the cached tokens that the engine counted
     */
    public void correct(CacheBelief believed, int actualTokens) {
        if (believed.tokens() == 0) {
            return;
        }
        boolean hit = actualTokens >= believed.tokens() * HIT_SHARE;
        long age = believed.ageMillis();
        if (hit && age > lifetimeMillis / 2) {
            lifetimeMillis = Math.min(MAX_LIFETIME_MILLIS, (long) (Math.max(lifetimeMillis, age) * GROWTH));
        } else if (!hit && age < lifetimeMillis) {
            lifetimeMillis = Math.max(MIN_LIFETIME_MILLIS, (lifetimeMillis + age) / 2);
        }
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
