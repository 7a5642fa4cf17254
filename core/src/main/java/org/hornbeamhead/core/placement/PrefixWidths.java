package org.hornbeamhead.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How many replicas each shared beginning is spread over. A hot one widens at once when its replicas no longer meet the
 * target, and narrows slowly when they idle, so that it does not swing.
 */
public final class PrefixWidths {
    private static final int CAPACITY = 4096;
    private static final int FIRST_WIDTH = 2;
    private static final long WIDEN_EVERY_MILLIS = 100;
    private static final long NARROW_EVERY_MILLIS = 5_000;

    private record Width(int replicas, long changedMillis) {}

    private final Map<Long, Width> widths = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Width> eldest) {
            return size() > CAPACITY;
        }
    };

    /**
     * Returns the present width.
     *
     * @param key the shared beginning
     * @return the number of replicas
     */
    public int width(long key) {
        Width width = widths.get(key);
        return width == null ? FIRST_WIDTH : width.replicas();
    }

    /**
     * Asks for one more replica.
     *
     * @param key the shared beginning
     * @param limit the number of replicas there are
     * @param nowMillis the monotonic time
     */
    public void widen(long key, int limit, long nowMillis) {
        step(key, nowMillis, WIDEN_EVERY_MILLIS, Math.min(limit, width(key) + 1));
    }

    /**
     * Asks for one replica less.
     *
     * @param key the shared beginning
     * @param nowMillis the monotonic time
     */
    public void narrow(long key, long nowMillis) {
        step(key, nowMillis, NARROW_EVERY_MILLIS, Math.max(FIRST_WIDTH, width(key) - 1));
    }

    private void step(long key, long nowMillis, long everyMillis, int wanted) {
        Width width = widths.get(key);
        if (width == null && wanted == FIRST_WIDTH) {
            return;
        }
        if (width == null || (nowMillis - width.changedMillis() >= everyMillis && wanted != width.replicas())) {
            widths.put(key, new Width(wanted, nowMillis));
        }
    }
}
