package org.hornbeamhead.core.ticket;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class TicketOfficeTest {
    private final ManualClock clock = new ManualClock(0);

    private TicketOffice office(String address, long seed) {
        return new TicketOffice(address, clock, new SplittableRandom(seed), 1_000);
    }

    @Test
    public void aTicketIsGoodOnce() {
        TicketOffice office = office("10.0.0.1:80", 1);
        Ticket ticket = Ticket.parse(office.issue().orElseThrow().format()).orElseThrow();
        assertEquals(office.spend(ticket), TicketResult.GRANTED);
        assertEquals(office.spend(ticket), TicketResult.SPENT);
    }

    // The router that issued the ticket was killed and came back at the same address. It does not know whether the
    // ticket
    // was used, so it must not run the request.
    @Test
    public void aLaterIncarnationDoesNotHonourIt() {
        Ticket ticket = office("10.0.0.1:80", 1).issue().orElseThrow();
        assertEquals(office("10.0.0.1:80", 2).spend(ticket), TicketResult.HOLDER_GONE);
        assertEquals(office("10.0.0.2:80", 3).spend(ticket), TicketResult.FOREIGN);
    }

    @Test
    public void anOldOrInventedTicketIsExpired() {
        TicketOffice office = office("10.0.0.1:80", 1);
        Ticket ticket = office.issue().orElseThrow();
        assertEquals(office.spend(new Ticket(ticket.holder(), "invented")), TicketResult.EXPIRED);
        clock.advance(1_000);
        assertEquals(office.spend(ticket), TicketResult.EXPIRED);
    }

    @DataProvider
    public Object[][] noTickets() {
        return new Object[][] {{""}, {"ticket:"}, {"ticket:a!b"}, {"ticket:a!b~c"}, {"a~b!c"}};
    }

    @Test(dataProvider = "noTickets")
    public void otherKeysAreNoTickets(String text) {
        assertTrue(Ticket.parse(text).isEmpty());
    }
}
