package org.hornbeamhead.core.mirror;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers which readers of the store failed this router lately, and picks the one to wait at.
 *
 * <p>Failure: a reader is lost, frozen, cut off from this router or from the store. Symptom: all that wait at it know
 * nothing new. A router turns to its second reader after one failure and to the store itself after another, so that two
 * time limits are the most that it stays behind. It tries a reader again after a pause that doubles, with a question
 * that does not wait.
 *
 * <p>Owned by one thread.
 */
public final class ReaderTrust {
    /** Readers that a router waits at before it turns to the store. */
    private static final int MAX_READERS = 2;

    private static final long FIRST_PAUSE_MILLIS = 2_000;
    private static final long LONGEST_PAUSE_MILLIS = 16_000;

    private final Map<String, Doubt> doubts = new HashMap<>();

    private record Doubt(long until, long pause) {}

    /**
     * Picks the reader to ask.
     *
     * @param readers the readers' addresses, the first choice first
     * @param nowMillis the monotonic time
     * @return the reader, empty when the store itself is to be read
     */
    public Optional<String> pick(List<String> readers, long nowMillis) {
        doubts.keySet().retainAll(readers);
        return readers.stream()
                .limit(MAX_READERS)
                .filter(r ->
                        !doubts.containsKey(r) || nowMillis >= doubts.get(r).until())
                .findFirst();
    }

    /**
     * Tells whether a reader has yet to show that it answers again.
     *
     * @param reader its address
     * @return whether its last answer failed
     */
    public boolean isDoubted(String reader) {
        return doubts.containsKey(reader);
    }

    /**
     * Notes that a reader answered well.
     *
     * @param reader its address
     */
    public void answered(String reader) {
        doubts.remove(reader);
    }

    /**
     * Notes that a reader did not answer, or does not know the newest state.
     *
     * @param reader its address
     * @param nowMillis the monotonic time
     */
    public void failed(String reader, long nowMillis) {
        Doubt before = doubts.get(reader);
        long pause = before == null ? FIRST_PAUSE_MILLIS : Math.min(LONGEST_PAUSE_MILLIS, 2 * before.pause());
        doubts.put(reader, new Doubt(nowMillis + pause, pause));
    }
}
