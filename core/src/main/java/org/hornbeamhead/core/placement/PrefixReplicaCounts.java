package org.hornbeamhead.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides over how many replicas each shared prefix is spread. A frequently used prefix may be cached on many replicas:
 * as long as each of them receives it several times before it would be evicted, caching it there costs almost nothing.
 * A rarely used one is kept on few replicas. The request rate is smoothed, so that the number of replicas does not
 * oscillate.
 *
 * <p>Bounded in size. Owned by one thread.
 */
public final class PrefixReplicaCounts {
    private static final int CAPACITY = 4096;
    private static final int MIN_REPLICAS = 8;
    private static final double HALF_LIFE_MILLIS = 10_000;
    /** The assumed minimum time for which an engine keeps an unused prefix; engines are not asked for it. */
    private static final double MIN_CACHE_RETENTION_MILLIS = 10_000;

    private static final double MIN_USES_PER_RETENTION = 4;
    private static final double SHRINK_THRESHOLD = 0.25;
    private static final double LN_2 = Math.log(2);

    private record Rate(double uses, long updatedMillis, int replicaCount) {
        double decayedUses(long nowMillis) {
            return uses * Math.pow(0.5, (nowMillis - updatedMillis) / HALF_LIFE_MILLIS);
        }
    }

    private final Map<Long, Rate> rates = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Rate> eldest) {
            return size() > CAPACITY;
        }
    };

    /**
     * Records a use of a shared prefix.
     *
     * @param key the key of the shared prefix
     * @param nowMillis the monotonic time, in milliseconds
     */
    public void recordUse(long key, long nowMillis) {
        Rate rate = rates.get(key);
        rates.put(
                key,
                rate == null
                        ? new Rate(1, nowMillis, MIN_REPLICAS)
                        : new Rate(rate.decayedUses(nowMillis) + 1, nowMillis, rate.replicaCount()));
    }

    /**
     * Returns the number of replicas over which a shared prefix is to be spread, and adjusts it to the request rate.
     *
     * @param key the key of the shared prefix
     * @param routers the number of routers, each of which receives about the same share of the uses
     * @param limit the number of available replicas
     * @param nowMillis the monotonic time, in milliseconds
     * @return the number of replicas
     */
    public int replicaCount(long key, int routers, int limit, long nowMillis) {
        Rate rate = rates.get(key);
        if (rate == null) {
            return Math.min(MIN_REPLICAS, limit);
        }
        double usesPerMilli = rate.decayedUses(nowMillis) * LN_2 / HALF_LIFE_MILLIS;
        double wanted = usesPerMilli * routers * MIN_CACHE_RETENTION_MILLIS / MIN_USES_PER_RETENTION;
        int count = adjust(rate.replicaCount(), wanted);
        if (count != rate.replicaCount()) {
            rates.put(key, new Rate(rate.uses(), rate.updatedMillis(), count));
        }
        return Math.min(limit, count);
    }

    /** Doubles the count, or halves it if far fewer are wanted. Changes are kept rare since each one moves dossiers. */
    private static int adjust(int count, double wanted) {
        if (wanted > count) {
            return count * 2;
        }
        return wanted < count * SHRINK_THRESHOLD ? Math.max(MIN_REPLICAS, count / 2) : count;
    }
}
