package org.hornbeamhead.core.drain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.Test;

public class DrainTest {
    // Callers may use an address answer for two more seconds. The process must accept requests until then, reject new
    // ones afterwards, and finish only when the last stream has ended.
    @Test
    public void requestsAreAcceptedUntilAnswersExpireAndDrainEndsAfterTheLastStream() {
        ManualClock clock = new ManualClock(0);
        DrainSequence drain = new DrainSequence(clock, 2_000);
        drain.leave();
        assertFalse(drain.isAdvertised());
        assertEquals(drain.step(0), DrainState.LEAVING);
        assertTrue(drain.acceptsWork());
        clock.advance(2_000);
        drain.leave();
        assertEquals(drain.step(1), DrainState.FINISHING);
        assertFalse(drain.acceptsWork());
        assertEquals(drain.step(0), DrainState.DONE);
    }

    @Test
    public void formattedOrdersKeepAuthorAndReason() {
        DrainOrder order = new DrainOrder("10.0.0.1:80", "ana", 5, "disk | noise\n", "");
        DrainOrders orders = new DrainOrders(List.of()).with(order).with(order);
        assertEquals(orders.orders().size(), 1);
        DrainOrders read = DrainOrders.parse(orders.format());
        assertEquals(read, orders);
        assertTrue(read.isDraining("10.0.0.1:80"));
        DrainOrders ended = read.withEnded("10.0.0.1:80", "rui");
        assertFalse(ended.isDraining("10.0.0.1:80"));
        assertEquals(ended.orders().get(0).endedBy(), "rui");
    }

    /** Guards against one damaged line preventing all orders from being read. */
    @Test
    public void orderWithAnInvalidTimeIsInForce() {
        DrainOrders read = DrainOrders.parse("e1|ana|yesterday|disk|\nnonsense\ne2|ana|5|disk|");
        assertTrue(read.isDraining("e1") && read.isDraining("e2"));
        assertEquals(read.orders().get(0).wallMillis(), 0);
    }

    @Test
    public void oldestEndedOrdersAreRemovedButOrdersInForceAreKept() {
        DrainOrders orders = new DrainOrders(List.of()).with(new DrainOrder("kept", "a", 0, "r", ""));
        for (int i = 0; i < 1_500; i++) {
            orders = orders.with(new DrainOrder("e" + i, "a", i, "r", "")).withEnded("e" + i, "b");
        }
        assertEquals(orders.orders().size(), 1_000);
        assertTrue(orders.isDraining("kept"));
    }
}
