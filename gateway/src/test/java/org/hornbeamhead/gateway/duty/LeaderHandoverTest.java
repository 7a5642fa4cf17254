package org.hornbeamhead.gateway.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that another router continues the rollout after a planned stop of the leader. */
public class LeaderHandoverTest {
    private static final long PAUSE_MILLIS = RolloutTestBed.PAUSE_MILLIS;
    private static final long PAUSE_MARGIN_MILLIS = 300;
    private static final long LOAD_MILLIS = 1_300;
    /** How long a stopping router may send orders, and when its process ends. */
    private static final long ORDER_MILLIS = 2_200;

    private static final long EXIT_MILLIS = 3_500;
    private static final long LEASE_TTL_MILLIS = 1_000;
    /** The allowance for ticks, for the announcement before an order, and for reports. */
    private static final long TOLERANCE_MILLIS = 400;

    private RolloutTestBed testBed;

    private RolloutTestBed.Router start(int replicas, long loadMillis) {
        testBed = new RolloutTestBed(replicas, 8_000, () -> loadMillis);
        RolloutTestBed.Router router = testBed.startRouter("a", 0);
        testBed.timers.advance(PAUSE_MILLIS + 1_000);
        return router;
    }

    private List<FakeReplicas.SentOrder> ordersOf(String leader) {
        return testBed.replicas.sentOrders.stream()
                .filter(o -> o.order().holder().equals(leader))
                .toList();
    }

    /**
     * Replicas would change late if a router that is about to end became leader. The router is told to stop, then a
     * target version is set. It leaves the leadership to others, although it is first in rank and still runs.
     */
    @Test
    public void stoppingRouterDoesNotBecomeLeader() {
        RolloutTestBed.Router stoppingRouter = start(8, LOAD_MILLIS);
        testBed.startRouter("b", 1);
        stoppingRouter.coordinator.stop(ORDER_MILLIS);
        testBed.setTargetVersion(2);
        testBed.timers.advance(6_000);
        assertEquals(ordersOf("a"), List.of());
        assertEquals(testBed.replicas.changedVersions().size(), 8);
    }

    /**
     * Replicas would get no orders for seconds if a leader that is stopped while the last replicas load kept its lease.
     * Its last order was longer ago than the pause, so it releases the lease at once, and the next leader need not wait
     * either.
     */
    @Test
    public void stoppingLeaderWithoutRecentOrderReleasesLeaseAtOnce() {
        RolloutTestBed.Router stoppingRouter = start(4, 5_000);
        testBed.startRouter("b", 1);
        testBed.setTargetVersion(2);
        testBed.timers.advance(9_000);
        int ordersBefore = testBed.replicas.sentOrders.size();
        stoppingRouter.coordinator.stop(ORDER_MILLIS);
        testBed.setTargetVersion(3);
        testBed.timers.advance(TOLERANCE_MILLIS + 250);
        assertTrue(testBed.replicas.sentOrders.size() > ordersBefore);
        assertEquals(ordersOf("a").size(), ordersBefore);
    }

    /** Guards against a leader that keeps its lease though it reaches no replica, and against orders of two leaders. */
    @Test
    public void leaderWithoutPathLeavesLeadershipToOthers() {
        RolloutTestBed.Router cutRouter = start(8, LOAD_MILLIS);
        testBed.startRouter("b", 1);
        testBed.setTargetVersion(2);
        testBed.timers.advance(1_000);
        int ordersOfCut = ordersOf("a").size();
        assertTrue(ordersOfCut > 0);
        cutRouter.setReachesReplicas(false);
        testBed.timers.advance(10_000);
        assertEquals(ordersOf("a").size(), ordersOfCut);
        assertEquals(testBed.replicas.changedVersions().size(), 8);
        long lastOfCut = ordersOf("a").get(ordersOfCut - 1).sentAt();
        assertTrue(ordersOf("b").get(0).sentAt() - lastOfCut >= PAUSE_MILLIS);
    }

    @DataProvider
    public Object[][] stops() {
        return new Object[][] {{200L, 0L}, {1_700L, 0L}, {2_900L, 0L}, {200L, 40L}, {1_700L, 1_000L}, {1_000L, 2_000L}};
    }

    /**
     * Replicas would stay on superseded weights if a leader that is stopped in the middle of a rollout held its lease
     * until its process ends. It may send orders for a while, then records in the store how long the next leader has to
     * wait. The next leader counts from when it received the record: the orders of two leaders are never closer than
     * the pause, and not much further apart.
     */
    @Test(dataProvider = "stops")
    public void rolloutContinuesSoonAfterLeaderStops(long stopAfterMillis, long storeDelayMillis) {
        RolloutTestBed.Router stoppingRouter = start(42, LOAD_MILLIS);
        testBed.startDelayedRouter("b", 0, storeDelayMillis);
        testBed.setTargetVersion(2);
        testBed.timers.advance(stopAfterMillis);
        testBed.setTargetVersion(3);
        stoppingRouter.coordinator.stop(ORDER_MILLIS);
        testBed.timers.advance(ORDER_MILLIS);
        testBed.setTargetVersion(4);
        testBed.timers.advance(EXIT_MILLIS - ORDER_MILLIS);
        stoppingRouter.kill();
        testBed.timers.advance(LEASE_TTL_MILLIS);
        testBed.expireLeaseOf("a");
        testBed.timers.advance(12_000);
        List<FakeReplicas.SentOrder> firstOrders = ordersOf("a");
        long lastOrderAt = firstOrders.get(firstOrders.size() - 1).sentAt();
        long nextOrderAt = ordersOf("b").get(0).sentAt();
        assertTrue(
                nextOrderAt - lastOrderAt >= PAUSE_MILLIS + PAUSE_MARGIN_MILLIS,
                "orders of two leaders " + (nextOrderAt - lastOrderAt) + " ms apart");
        long maxGapMillis = PAUSE_MILLIS + PAUSE_MARGIN_MILLIS + storeDelayMillis + TOLERANCE_MILLIS;
        assertTrue(
                nextOrderAt - lastOrderAt <= maxGapMillis,
                "no order for " + (nextOrderAt - lastOrderAt) + " ms, at most " + maxGapMillis);
        assertTrue(testBed.replicas.changedVersions().values().stream().allMatch(v -> v == 4));
    }

    /**
     * All routers are restarted one after the other. The second leader is stopped while it still waits for the pause
     * after the last order of the first one. It has sent no order itself and hands over the rest of the pause with the
     * lease. The third leader neither sends orders too early nor waits for the whole pause again.
     */
    @Test
    public void leaderStoppedDuringPauseHandsOverRemainingPause() {
        RolloutTestBed.Router firstLeader = start(42, LOAD_MILLIS);
        RolloutTestBed.Router secondLeader = testBed.startRouter("b", 0);
        testBed.startRouter("c", 2);
        testBed.setTargetVersion(2);
        testBed.timers.advance(1_000);
        firstLeader.coordinator.stop(ORDER_MILLIS);
        testBed.setTargetVersion(3);
        testBed.timers.advance(EXIT_MILLIS);
        testBed.setTargetVersion(4);
        secondLeader.coordinator.stop(ORDER_MILLIS);
        testBed.timers.advance(12_000);
        List<FakeReplicas.SentOrder> firstOrders = ordersOf("a");
        long lastOrderAt = firstOrders.get(firstOrders.size() - 1).sentAt();
        assertEquals(ordersOf("b"), List.of());
        assertTrue(!ordersOf("c").isEmpty(), "the third leader sent no order");
        long gapMillis = ordersOf("c").get(0).sentAt() - lastOrderAt;
        assertTrue(gapMillis >= PAUSE_MILLIS + PAUSE_MARGIN_MILLIS, "orders of two leaders " + gapMillis + " ms apart");
        assertTrue(
                gapMillis <= PAUSE_MILLIS + PAUSE_MARGIN_MILLIS + TOLERANCE_MILLIS,
                "no order for " + gapMillis + " ms");
    }

    /**
     * Replicas would get orders from two routers within the pause if a leader sent orders while it releases the lease.
     * The leader has finished and releases the lease, the store is slow, and a target version is set before it answers.
     * The next leader may acquire the lease as soon as the record is written, so the old one sends no order from the
     * moment at which it starts the write.
     */
    @Test
    public void noOrderIsSentWhileReleaseIsPending() {
        start(8, LOAD_MILLIS);
        testBed.setTargetVersion(2);
        testBed.timers.advance(4_000);
        int ordersBefore = testBed.replicas.sentOrders.size();
        testBed.store.delayWrites = true;
        while (!testBed.store.hasDelayedWrites()) {
            testBed.timers.advance(50);
        }
        testBed.setTargetVersion(3);
        testBed.timers.advance(TOLERANCE_MILLIS);
        assertEquals(testBed.replicas.sentOrders.size(), ordersBefore);
        testBed.store.performDelayedWrites();
        testBed.timers.advance(6_000);
        assertTrue(testBed.replicas.changedVersions().values().stream().allMatch(v -> v == 3));
    }
}
