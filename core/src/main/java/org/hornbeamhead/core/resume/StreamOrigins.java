package org.hornbeamhead.core.resume;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of streams that may be resumed, for a limited time and number. The one recorded first is dropped first.
 *
 * <p>Not thread-safe.
 */
public final class StreamOrigins {
    /** How long an origin is kept after it was recorded; callers resume a broken stream within seconds. */
    public static final long LIFETIME_MILLIS = 60_000;

    /** The number of streams whose origins are kept. */
    public static final int MAX_STREAMS = 50_000;

    private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

    private record Entry(SoftwareVersion software, long expiresAtMillis) {}

    /**
     * Records an origin, or that it was needed again.
     *
     * @param origin the origin; ignored if another one is known for the stream
     * @param nowMillis the monotonic time
     */
    public void record(StreamOrigin origin, long nowMillis) {
        SoftwareVersion software = find(origin.key(), nowMillis).orElse(origin.software());
        entries.remove(origin.key());
        entries.put(origin.key(), new Entry(software, nowMillis + LIFETIME_MILLIS));
        dropOldest(nowMillis);
    }

    private void dropOldest(long nowMillis) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext() && (oldest.next().expiresAtMillis() <= nowMillis || entries.size() > MAX_STREAMS)) {
            oldest.remove();
        }
    }

    /**
     * Finds the software that began a stream.
     *
     * @param key the stream
     * @param nowMillis the monotonic time
     * @return the version, empty if it is not known
     */
    public Optional<SoftwareVersion> find(StreamKey key, long nowMillis) {
        return Optional.ofNullable(entries.get(key))
                .filter(e -> e.expiresAtMillis() > nowMillis)
                .map(Entry::software);
    }

    /**
     * Returns the number of origins that are kept.
     *
     * @return the number of streams
     */
    public int size() {
        return entries.size();
    }
}
