package org.hornbeamhead.core.ticket;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hornbeamhead.core.time.Clock;

/**
 * Tickets of one router incarnation. A ticket allows one request that is not repeatable to run through the incarnation
 * that issued it, and through no other; it needs no platform.
 *
 * <p>Safety rests on the memory of this one process: a ticket is there, and unspent, or it is not honoured. When the
 * process ends, its tickets end with it.
 */
public final class TicketOffice {
    private static final int CAPACITY = 100_000;
    private static final int HEX = 16;

    private enum Use {
        ISSUED,
        SPENT
    }

    private record Entry(Use use, long expiresMillis) {}

    private final String holder;
    private final Clock clock;
    private final RandomGenerator random;
    private final long ttlMillis;
    private final Map<Ticket, Entry> entries = new LinkedHashMap<>();

    /**
     * Opens an office.
     *
     * @param address the router's address for callers
     * @param clock the clock
     * @param random draws the incarnation's and the tickets' numbers; must not be guessable in a daemon
     * @param ttlMillis how long a ticket may be used, in milliseconds
     */
    public TicketOffice(String address, Clock clock, RandomGenerator random, long ttlMillis) {
        this.holder = address + "~" + Long.toUnsignedString(random.nextLong(), HEX);
        this.clock = clock;
        this.random = random;
        this.ttlMillis = ttlMillis;
    }

    /**
     * Issues a ticket.
     *
     * @return the ticket, empty when too many are out
     */
    public Optional<Ticket> issue() {
        forgetExpired();
        if (entries.size() >= CAPACITY) {
            return Optional.empty();
        }
        String number = Long.toUnsignedString(random.nextLong(), HEX) + Long.toUnsignedString(random.nextLong(), HEX);
        Ticket ticket = new Ticket(holder, number);
        entries.put(ticket, new Entry(Use.ISSUED, clock.monotonicMillis() + ttlMillis));
        return Optional.of(ticket);
    }

    /**
     * Spends a ticket.
     *
     * @param ticket the ticket
     * @return what it is worth
     */
    public TicketResult spend(Ticket ticket) {
        if (!ticket.holder().equals(holder)) {
            return ticket.address().equals(address()) ? TicketResult.HOLDER_GONE : TicketResult.FOREIGN;
        }
        forgetExpired();
        Entry entry = entries.get(ticket);
        if (entry == null) {
            return TicketResult.EXPIRED;
        }
        if (entry.use() == Use.SPENT) {
            return TicketResult.SPENT;
        }
        entries.put(ticket, new Entry(Use.SPENT, entry.expiresMillis()));
        return TicketResult.GRANTED;
    }

    private String address() {
        return holder.substring(0, holder.indexOf('~'));
    }

    private void forgetExpired() {
        long now = clock.monotonicMillis();
        var oldest = entries.values().iterator();
        while (oldest.hasNext() && oldest.next().expiresMillis() <= now) {
            oldest.remove();
        }
    }
}
