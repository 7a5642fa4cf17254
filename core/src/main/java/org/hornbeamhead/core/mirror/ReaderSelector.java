package org.hornbeamhead.core.mirror;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the reader from which this router fetches changes of the store, and skips readers that failed recently.
 *
 * <p>A reader may crash, freeze, or lose its connection to this router or to the store; the routers that wait for its
 * changes then have an outdated view. After one failure a router uses its second reader, after another the store
 * itself, so its view is out of date for two timeouts at most. A failed reader is retried with exponential backoff, by
 * a request that does not wait for changes.
 *
 * <p>Not thread-safe.
 */
public final class ReaderSelector {
    /** Number of readers that are tried previous the store itself is read. */
    private static final int MAX_READERS = 2;

    private static final long INITIAL_BACKOFF_MILLIS = 2_000;
    private static final long MAX_BACKOFF_MILLIS = 16_000;

    private final Map<String, Failure> failures = new HashMap<>();

    private record Failure(long retryAtMillis, long backoffMillis) {}

    /**
     * Selects the reader to fetch changes from.
     *
     * @param readers the addresses of the readers in order of preference
     * @param nowMillis the current monotonic time
     * @return the address of the reader, or empty if the store itself should be read
     */
    public Optional<String> select(List<String> readers, long nowMillis) {
        failures.keySet().retainAll(readers);
        return readers.stream()
                .limit(MAX_READERS)
                .filter(r ->
                        !failures.containsKey(r) || nowMillis >= failures.get(r).retryAtMillis())
                .findFirst();
    }

    /**
     * Returns whether the last request to a reader failed.
     *
     * @param reader the address of the reader
     * @return whether the reader has not answered successfully since its last failure
     */
    public boolean isFailing(String reader) {
        return failures.containsKey(reader);
    }

    /**
     * Records a successful answer of a reader.
     *
     * @param reader the address of the reader
     */
    public void recordSuccess(String reader) {
        failures.remove(reader);
    }

    /**
     * Records that a reader did not answer or has an outdated view of the store.
     *
     * @param reader the address of the reader
     * @param nowMillis the current monotonic time
     */
    public void recordFailure(String reader, long nowMillis) {
        Failure previous = failures.get(reader);
        long backoff =
                previous == null ? INITIAL_BACKOFF_MILLIS : Math.min(MAX_BACKOFF_MILLIS, 2 * previous.backoffMillis());
        failures.put(reader, new Failure(nowMillis + backoff, backoff));
    }
}
