package org.hornbeamhead.core.ticket;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.time.Clock;

/**
 * Issues and redeems the tickets of one router incarnation. A ticket permits one request that is not repeatable to run
 * through the incarnation that issued it, and through no other. Tickets do not depend on the platform.
 *
 * <p>Safety depends only on the memory of this process: a ticket is granted only if it is recorded here as unspent.
 * When the process ends, its tickets become invalid.
 */
public final class TicketRegistry {
    private static final int MAX_TICKETS = 100_000;
    private static final int HEX_RADIX = 16;

    private enum TicketState {
        ISSUED,
        SPENT
    }

    private record Entry(TicketState state, long expiresMillis) {}

    private final String holder;
    private final Clock clock;
    private final RandomGenerator random;
    private final long ttlMillis;
    private final Map<Ticket, Entry> entries = new LinkedHashMap<>();

    /**
     * Creates a registry for a new incarnation.
     *
     * @param address the router's address for callers
     * @param clock the clock
     * @param random the source of the incarnation's and the tickets' numbers; must be unpredictable in a daemon
     * @param ttlMillis the time for which a ticket is valid, in milliseconds
     */
    public TicketRegistry(String address, Clock clock, RandomGenerator random, long ttlMillis) {
        this.holder = address + "~" + Long.toUnsignedString(random.nextLong(), HEX_RADIX);
        this.clock = clock;
        this.random = random;
        this.ttlMillis = ttlMillis;
    }

    /**
     * Issues a ticket.
     *
     * @return the ticket; empty if too many tickets are recorded
     */
    public Optional<Ticket> issue() {
        removeExpired();
        if (entries.size() >= MAX_TICKETS) {
            return Optional.empty();
        }
        String number = Long.toUnsignedString(random.nextLong(), HEX_RADIX)
                + Long.toUnsignedString(random.nextLong(), HEX_RADIX);
        Ticket ticket = new Ticket(holder, number);
        entries.put(ticket, new Entry(TicketState.ISSUED, clock.monotonicMillis() + ttlMillis));
        return Optional.of(ticket);
    }

    /**
     * Marks a ticket as spent, if it is valid.
     *
     * @param ticket the ticket
     * @return whether the request may run or, if not, why
     */
    public TicketResult spend(Ticket ticket) {
        if (!ticket.holder().equals(holder)) {
            return ticket.address().equals(address()) ? TicketResult.HOLDER_GONE : TicketResult.FOREIGN;
        }
        removeExpired();
        Entry entry = entries.get(ticket);
        if (entry == null) {
            return TicketResult.EXPIRED;
        }
        if (entry.state() == TicketState.SPENT) {
            return TicketResult.SPENT;
        }
        entries.put(ticket, new Entry(TicketState.SPENT, entry.expiresMillis()));
        return TicketResult.GRANTED;
    }

    private String address() {
        return holder.substring(0, holder.indexOf('~'));
    }

    private void removeExpired() {
        long now = clock.monotonicMillis();
        var iterator = entries.values().iterator();
        while (iterator.hasNext() && iterator.next().expiresMillis() <= now) {
            iterator.remove();
        }
    }
}
