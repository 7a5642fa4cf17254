package org.hornbeamhead.core.ticket;

import java.util.Optional;

/**
 * A ticket that permits one request to run through one incarnation of a router.
 *
 * @param holder the issuing router's address and incarnation, joined by {@code ~}
 * @param number the ticket's random number, which cannot be guessed
 */
public record Ticket(String holder, String number) {
    private static final String PREFIX = "ticket:";

    /**
     * Parses a ticket.
     *
     * @param text the idempotency key of a request
     * @return the ticket; empty if the key is not a ticket
     */
    public static Optional<Ticket> parse(String text) {
        int separator = text.indexOf('!');
        if (!text.startsWith(PREFIX) || separator < 0 || text.indexOf('~') < 0 || text.indexOf('~') > separator) {
            return Optional.empty();
        }
        return Optional.of(new Ticket(text.substring(PREFIX.length(), separator), text.substring(separator + 1)));
    }

    /**
     * Formats the ticket.
     *
     * @return the text, in the form read by {@link #parse}
     */
    public String format() {
        return PREFIX + holder + "!" + number;
    }

    /**
     * Returns the address at which the ticket can be used.
     *
     * @return the issuing router's address for callers
     */
    public String address() {
        return holder.substring(0, holder.indexOf('~'));
    }
}
