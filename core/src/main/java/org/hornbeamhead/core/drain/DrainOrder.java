package org.hornbeamhead.core.drain;

/**
 * An operator's order that an endpoint receives no new work.
 *
 * @param address the address of the endpoint
 * @param author the operator who gave the order
 * @param wallMillis the time of the order, in milliseconds since the Unix epoch
 * @param reason the reason, on one line
 * @param endedBy the operator who ended the order; empty while it is in force
 */
public record DrainOrder(String address, String author, long wallMillis, String reason, String endedBy) {
    /** Reduces each text to one line and replaces the field separator {@code |} with a space. */
    public DrainOrder {
        author = removeSeparators(author);
        reason = removeSeparators(reason);
        endedBy = removeSeparators(endedBy);
    }

    /**
     * Returns whether the order is in force.
     *
     * @return true until an operator ends the order
     */
    public boolean isInForce() {
        return endedBy.isEmpty();
    }

    private static String removeSeparators(String text) {
        return text.replaceAll("[\\s|]+", " ").trim();
    }
}
