package org.hornbeamhead.core.ticket;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class TicketRegistryTest {
    private final ManualClock clock = new ManualClock(0);

    private TicketRegistry registry(String address, long seed) {
        return new TicketRegistry(address, clock, new SplittableRandom(seed), 1_000);
    }

    @Test
    public void ticketIsGrantedOnce() {
        TicketRegistry registry = registry("10.0.0.1:80", 1);
        Ticket ticket = Ticket.parse(registry.issue().orElseThrow().format()).orElseThrow();
        assertEquals(registry.spend(ticket), TicketResult.GRANTED);
        assertEquals(registry.spend(ticket), TicketResult.SPENT);
    }

    // A router that restarts at the same address does not know whether a ticket of its earlier incarnation was used.
    // Granting such a ticket could run the request twice.
    @Test
    public void ticketOfEarlierIncarnationIsRefused() {
        Ticket ticket = registry("10.0.0.1:80", 1).issue().orElseThrow();
        assertEquals(registry("10.0.0.1:80", 2).spend(ticket), TicketResult.HOLDER_GONE);
        assertEquals(registry("10.0.0.2:80", 3).spend(ticket), TicketResult.FOREIGN);
    }

    @Test
    public void oldOrUnissuedTicketIsExpired() {
        TicketRegistry registry = registry("10.0.0.1:80", 1);
        Ticket ticket = registry.issue().orElseThrow();
        assertEquals(registry.spend(new Ticket(ticket.holder(), "invented")), TicketResult.EXPIRED);
        clock.advance(1_000);
        assertEquals(registry.spend(ticket), TicketResult.EXPIRED);
    }

    @DataProvider
    public Object[][] malformedTickets() {
        return new Object[][] {{""}, {"ticket:"}, {"ticket:a!b"}, {"ticket:a!b~c"}, {"a~b!c"}};
    }

    @Test(dataProvider = "malformedTickets")
    public void malformedTicketIsNotParsed(String text) {
        assertTrue(Ticket.parse(text).isEmpty());
    }
}
