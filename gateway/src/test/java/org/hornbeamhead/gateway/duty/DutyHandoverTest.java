package org.hornbeamhead.gateway.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The duty moves on when its holder is stopped as planned. */
public class DutyHandoverTest {
    private static final long PAUSE = DutyWorld.PAUSE;
    private static final long GUARD = 300;
    private static final long LOAD_MILLIS = 1_300;
    /** How long a stopping router may give orders, and when its process ends. */
    private static final long ORDER_MILLIS = 2_200;

    private static final long END_MILLIS = 3_500;
    private static final long LEASE_MILLIS = 1_000;
    /** Ticks, the notice before an order, and reports. */
    private static final long SLACK_MILLIS = 400;

    private DutyWorld world;

    private DutyWorld.Router start(int replicas, long loadMillis) {
        world = new DutyWorld(replicas, 8_000, () -> loadMillis);
        DutyWorld.Router router = world.router("a", 0);
        world.timers.advance(PAUSE + 1_000);
        return router;
    }

    private List<FakeReplicas.Given> ordersOf(String holder) {
        return world.replicas.given.stream()
                .filter(g -> g.order().holder().equals(holder))
                .toList();
    }

    /**
     * Replicas change late, since the router that was to change them ends. It is told to stop, then a version is named.
     * It leaves the duty to others, although it is the first in rank and still runs.
     */
    @Test
    public void aStoppingRouterTakesTheDutyNoMore() {
        DutyWorld.Router stopping = start(8, LOAD_MILLIS);
        world.router("b", 1);
        stopping.duty.stop(ORDER_MILLIS);
        world.name(2);
        world.timers.advance(6_000);
        assertEquals(ordersOf("a"), List.of());
        assertEquals(world.replicas.changed().size(), 8);
    }

    /**
     * Nobody is ordered for seconds, since the holder was stopped while the last replicas load. Its last order was
     * longer ago than the pause, so that it gives the duty back at once, and the next holder need not wait either.
     */
    @Test
    public void aHolderThatGaveNoOrderLatelyGivesTheDutyBackAtOnce() {
        DutyWorld.Router stopping = start(4, 5_000);
        world.router("b", 1);
        world.name(2);
        world.timers.advance(9_000);
        int before = world.replicas.given.size();
        stopping.duty.stop(ORDER_MILLIS);
        world.name(3);
        world.timers.advance(SLACK_MILLIS + 250);
        assertTrue(world.replicas.given.size() > before);
        assertEquals(ordersOf("a").size(), before);
    }

    @DataProvider
    public Object[][] stops() {
        return new Object[][] {{200L, 0L}, {1_700L, 0L}, {2_900L, 0L}, {200L, 40L}, {1_700L, 1_000L}, {1_000L, 2_000L}};
    }

    /**
     * Replicas stay on replaced weights, since the holder is stopped in the middle of a change and its lease ends later
     * with the process. It may order for a while, then says in the store how long the next holder has to wait. That one
     * counts from when it heard so: orders of two holders are never closer than the pause, and not much further.
     */
    @Test(dataProvider = "stops")
    public void aChangeGoesOnSoonAfterItsHolderWasStopped(long stopMillis, long hearMillis) {
        DutyWorld.Router stopping = start(42, LOAD_MILLIS);
        world.lateRouter("b", 0, hearMillis);
        world.name(2);
        world.timers.advance(stopMillis);
        world.name(3);
        stopping.duty.stop(ORDER_MILLIS);
        world.timers.advance(ORDER_MILLIS);
        world.name(4);
        world.timers.advance(END_MILLIS - ORDER_MILLIS);
        stopping.kill();
        world.timers.advance(LEASE_MILLIS);
        world.endLeaseOf("a");
        world.timers.advance(12_000);
        List<FakeReplicas.Given> first = ordersOf("a");
        long last = first.get(first.size() - 1).at();
        long next = ordersOf("b").get(0).at();
        assertTrue(next - last >= PAUSE + GUARD, "orders of two holders " + (next - last) + " ms apart");
        long longest = PAUSE + GUARD + hearMillis + SLACK_MILLIS;
        assertTrue(next - last <= longest, "no order for " + (next - last) + " ms, at most " + longest);
        assertTrue(world.replicas.changed().values().stream().allMatch(v -> v == 4));
    }

    /**
     * All routers are restarted in turn. The second holder is stopped while it still waits for the pause after the
     * first one's last order: it has given none itself, and hands over what is left of the wait with the duty. The
     * third one neither orders too soon nor waits for the whole pause again.
     */
    @Test
    public void aHolderThatIsStoppedWhileItWaitsHandsOverTheRestOfTheWait() {
        DutyWorld.Router first = start(42, LOAD_MILLIS);
        DutyWorld.Router second = world.router("b", 0);
        world.router("c", 2);
        world.name(2);
        world.timers.advance(1_000);
        first.duty.stop(ORDER_MILLIS);
        world.name(3);
        world.timers.advance(END_MILLIS);
        world.name(4);
        second.duty.stop(ORDER_MILLIS);
        world.timers.advance(12_000);
        List<FakeReplicas.Given> before = ordersOf("a");
        long last = before.get(before.size() - 1).at();
        assertEquals(ordersOf("b"), List.of());
        assertTrue(!ordersOf("c").isEmpty(), "the third one gave no order");
        long apart = ordersOf("c").get(0).at() - last;
        assertTrue(apart >= PAUSE + GUARD, "orders of two holders " + apart + " ms apart");
        assertTrue(apart <= PAUSE + GUARD + SLACK_MILLIS, "no order for " + apart + " ms");
    }

    /**
     * Replicas get orders of two routers within the pause. A holder that is done gives the duty back, the store is
     * slow, and a version is named before it answers. The next holder may take the duty as soon as the record is
     * written, so that the one before gives no order from the moment at which it writes.
     */
    @Test
    public void noOrderIsGivenWhileTheDutyIsOnItsWayBack() {
        start(8, LOAD_MILLIS);
        world.name(2);
        world.timers.advance(4_000);
        int before = world.replicas.given.size();
        world.store.writesWait = true;
        while (!world.store.writeWaits()) {
            world.timers.advance(50);
        }
        world.name(3);
        world.timers.advance(SLACK_MILLIS);
        assertEquals(world.replicas.given.size(), before);
        world.store.writeWhatWaits();
        world.timers.advance(6_000);
        assertTrue(world.replicas.changed().values().stream().allMatch(v -> v == 3));
    }
}
