package org.hornbeamhead.core.claim;

import java.util.UUID;

/**
 * One attempt's wish to run a request.
 *
 * @param id the request's id, a UUID of version 7, which carries its issue time
 * @param attempt a number drawn by the process that received the attempt, kept in its memory alone. Whoever records the
 *     claim, the asker recognises it by this number when an answer was lost.
 */
public record Claim(UUID id, long attempt) {
    private static final int VERSION_WITH_TIME = 7;
    private static final int TIME_SHIFT = 16;

    /**
     * Tells whether an id carries its issue time.
     *
     * @param id the id
     * @return true for version 7
     */
    public static boolean hasTime(UUID id) {
        return id.version() == VERSION_WITH_TIME;
    }

    /**
     * Reads the issue time.
     *
     * @return milliseconds since the Unix epoch
     */
    public long issuedMillis() {
        return id.getMostSignificantBits() >>> TIME_SHIFT;
    }
}
