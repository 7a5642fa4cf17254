package org.hornbeamhead.core.drain;

/**
 * An operator's wish that an endpoint takes no new work.
 *
 * @param address the endpoint
 * @param author who wishes it
 * @param wallMillis when, in milliseconds since the Unix epoch
 * @param reason why, on one line
 * @param endedBy who ended it; empty while it is in force
 */
public record DrainOrder(String address, String author, long wallMillis, String reason, String endedBy) {
    /** Puts the texts on one line each, without the separator. */
    public DrainOrder {
        author = clean(author);
        reason = clean(reason);
        endedBy = clean(endedBy);
    }

    /**
     * Tells whether the order is in force.
     *
     * @return true until somebody ended it
     */
    public boolean isInForce() {
        return endedBy.isEmpty();
    }

    private static String clean(String text) {
        return text.replaceAll("[\\s|]+", " ").trim();
    }
}
