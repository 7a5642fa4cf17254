package org.hornbeamhead.core.ticket;

/** The result of presenting a ticket to a router. */
public enum TicketResult {
    /** The request may run now, once. */
    GRANTED,
    /** The ticket was used before, and its request may have run. */
    SPENT,
    /** The ticket has expired or was never issued. It may have been spent before it expired. */
    EXPIRED,
    /** Another router issued the ticket; the request must be sent to that router. */
    FOREIGN,
    /** An earlier incarnation of this router issued the ticket. Whether its request ran is no longer known. */
    HOLDER_GONE
}
