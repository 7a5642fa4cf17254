package org.hornbeamhead.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Over how many replicas a shared beginning is spread. A beginning that comes often enough may stand on many replicas:
 * as long as each of them sees it several times before it would be evicted, keeping it there costs next to nothing. A
 * rare one is kept together. The rate is smoothed, so that the width does not swing.
 *
 * <p>Bounded in size. Owned by one thread.
 */
public final class PrefixWidths {
    private static final int CAPACITY = 4096;
    private static final int MIN_WIDTH = 8;
    private static final double HALF_LIFE_MILLIS = 10_000;
    /** How long an engine keeps an unused beginning at least, as far as is known without asking. */
    private static final double KEPT_MILLIS = 10_000;

    private static final double USES_WHILE_KEPT = 4;
    private static final double NARROW_BELOW = 0.25;
    private static final double LN_2 = Math.log(2);

    private record Rate(double uses, long atMillis, int width) {
        double faded(long nowMillis) {
            return uses * Math.pow(0.5, (nowMillis - atMillis) / HALF_LIFE_MILLIS);
        }
    }

    private final Map<Long, Rate> rates = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Rate> eldest) {
            return size() > CAPACITY;
        }
    };

    /**
     * Notes a use.
     *
     * @param key the shared beginning
     * @param nowMillis the monotonic time
     */
    public void used(long key, long nowMillis) {
        Rate rate = rates.get(key);
        rates.put(
                key,
                rate == null
                        ? new Rate(1, nowMillis, MIN_WIDTH)
                        : new Rate(rate.faded(nowMillis) + 1, nowMillis, rate.width()));
    }

    /**
     * Gives the present width.
     *
     * @param key the shared beginning
     * @param routers how many routers see about the same share of its uses
     * @param limit the number of replicas there are
     * @param nowMillis the monotonic time
     * @return the number of replicas
     */
    public int width(long key, int routers, int limit, long nowMillis) {
        Rate rate = rates.get(key);
        if (rate == null) {
            return Math.min(MIN_WIDTH, limit);
        }
        double usesPerMilli = rate.faded(nowMillis) * LN_2 / HALF_LIFE_MILLIS;
        double wanted = usesPerMilli * routers * KEPT_MILLIS / USES_WHILE_KEPT;
        int width = settle(rate.width(), wanted);
        if (width != rate.width()) {
            rates.put(key, new Rate(rate.uses(), rate.atMillis(), width));
        }
        return Math.min(limit, width);
    }

    /** Doubles or halves, and only when the wanted width is clearly beyond: each change moves dossiers. */
    private static int settle(int width, double wanted) {
        if (wanted > width) {
            return width * 2;
        }
        return wanted < width * NARROW_BELOW ? Math.max(MIN_WIDTH, width / 2) : width;
    }
}
