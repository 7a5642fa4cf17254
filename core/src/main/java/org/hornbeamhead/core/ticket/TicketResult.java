package org.hornbeamhead.core.ticket;

/** What a ticket is worth to the router that was shown it. */
public enum TicketResult {
    /** The request may run, now and once. */
    GRANTED,
    /** The ticket was used before: its request may have run. */
    SPENT,
    /** The ticket is too old, or was never issued. A spent one may be forgotten by now. */
    EXPIRED,
    /** Another router issued it; the request belongs there. */
    FOREIGN,
    /** An earlier incarnation of this router issued it. Whether its request ran is no longer known. */
    HOLDER_GONE
}
