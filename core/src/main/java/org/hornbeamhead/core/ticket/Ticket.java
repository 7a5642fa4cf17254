package org.hornbeamhead.core.ticket;

import java.util.Optional;

/**
 * The right to run one request through one router incarnation.
 *
 * @param holder the issuing router's address and incarnation, joined by {@code ~}
 * @param number the ticket's number, which cannot be guessed
 */
public record Ticket(String holder, String number) {
    private static final String PREFIX = "ticket:";

    /**
     * Reads a ticket.
     *
     * @param text the idempotency key of a request
     * @return the ticket, empty when the key is none
     */
    public static Optional<Ticket> parse(String text) {
        int bang = text.indexOf('!');
        if (!text.startsWith(PREFIX) || bang < 0 || text.indexOf('~') < 0 || text.indexOf('~') > bang) {
            return Optional.empty();
        }
        return Optional.of(new Ticket(text.substring(PREFIX.length(), bang), text.substring(bang + 1)));
    }

    /**
     * Writes the ticket.
     *
     * @return the text that {@link #parse} reads
     */
    public String format() {
        return PREFIX + holder + "!" + number;
    }

    /**
     * Returns where the ticket can be used.
     *
     * @return the issuing router's address for callers
     */
    public String address() {
        return holder.substring(0, holder.indexOf('~'));
    }
}
