package org.hornbeamhead.gateway.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the rollout of target weights with a clock, a store and replicas that the test controls. */
public class RolloutCoordinatorTest {
    private static final long PAUSE_MILLIS = RolloutTestBed.PAUSE_MILLIS;
    private static final long LOAD_MILLIS = 320;

    private RolloutTestBed testBed;
    private FakeReplicas replicas;

    @BeforeMethod
    public void setUp() {
        testBed = new RolloutTestBed(8, 6_000, () -> LOAD_MILLIS);
        replicas = testBed.replicas;
    }

    /** Starts a router and gives it enough time to find that there is no leader. */
    private RolloutTestBed.Router startLeader() {
        RolloutTestBed.Router router = testBed.startRouter("a", 0);
        testBed.timers.advance(PAUSE_MILLIS + 1_000);
        return router;
    }

    @Test
    public void ordersAllReplicasToLoadTargetWeights() {
        startLeader();
        long targetSetAt = testBed.clock.monotonicMillis();
        testBed.setTargetVersion(2);
        testBed.timers.advance(4_000);
        assertEquals(replicas.changedVersions().size(), 8);
        assertEquals(replicas.sentOrders.size(), 8, "one order each");
        assertTrue(
                replicas.sentOrders.get(0).sentAt() - targetSetAt < 400,
                "there was no leader: the first order is sent at once");
        assertTrue(replicas.sentOrders.get(7).sentAt() - targetSetAt < 3_000);
    }

    @DataProvider
    public Object[][] starts() {
        return new Object[][] {{1L, 1L, 8}, {0L, 1L, 8}, {1L, 0L, 8}, {0L, 0L, 8}, {1L, 2L, 0}};
    }

    /**
     * A replica restarts under its id, and a report of the earlier run arrives late. Its number of accepted orders does
     * not hold for the new run, so no order is based on it. Where the registry or the report gives no start time, the
     * two runs cannot be told apart, and the change must not wait forever.
     */
    @Test(dataProvider = "starts")
    public void reportOfAnotherRunIsIgnored(long reportedStart, long listedStart, int expectedOrders) {
        replicas.reportedStart = reportedStart;
        replicas.listedStart = listedStart;
        startLeader();
        testBed.setTargetVersion(2);
        testBed.timers.advance(6_000);
        assertEquals(replicas.sentOrders.size(), expectedOrders);
    }

    /** Two routers see the new target version. Only one of them sends orders. */
    @Test
    public void onlyOneRouterSendsOrders() {
        testBed.startRouter("a", 0);
        testBed.startRouter("b", 1);
        testBed.timers.advance(PAUSE_MILLIS + 2_000);
        testBed.setTargetVersion(2);
        testBed.timers.advance(4_000);
        assertEquals(
                replicas.sentOrders.stream()
                        .map(o -> o.order().holder())
                        .distinct()
                        .count(),
                1);
    }

    /**
     * The leader is killed between its first orders and the others, and its record vanishes with its lease. The next
     * leader cannot know when the last order was sent: it waits for the whole pause, and its fencing token is higher.
     */
    @Test
    public void newLeaderWaitsFullPauseAfterLeaderCrash() {
        RolloutTestBed.Router firstLeader = startLeader();
        testBed.setTargetVersion(2);
        testBed.timers.advance(150);
        assertEquals(
                replicas.sentOrders.stream()
                        .map(o -> o.order().holder())
                        .distinct()
                        .toList(),
                List.of("a"));
        long firstToken = replicas.sentOrders.get(0).order().fence();
        long killedAt = testBed.clock.monotonicMillis();
        firstLeader.kill();
        replicas.sentOrders.clear();
        testBed.store.expireLeaseOf(LeaderLeaseView.RECORD_KEY);
        testBed.startRouter("b", 0);
        testBed.timers.advance(6_000);
        assertTrue(
                replicas.sentOrders.get(0).sentAt() - killedAt >= PAUSE_MILLIS,
                "after " + (replicas.sentOrders.get(0).sentAt() - killedAt));
        assertTrue(replicas.sentOrders.get(0).order().fence() > firstToken);
    }

    /** The lease expired while the leader was suspended. The leader must not send further orders under it. */
    @Test
    public void suspendedLeaderSendsNoMoreOrders() {
        startLeader();
        testBed.setTargetVersion(2);
        testBed.timers.advance(150);
        int ordersBefore = replicas.sentOrders.size();
        testBed.clock.skewWall(5_000);
        testBed.timers.advance(60);
        assertEquals(replicas.sentOrders.size(), ordersBefore);
    }

    /**
     * A replica is unreachable when it is ordered, and the next target version is set before it is back. With the old
     * version in the repeated order, callers would wait for two loads of the replica, the first of them of weights that
     * are already superseded. The repeated order requests the newest version.
     */
    @Test
    public void repeatedOrderRequestsNewestVersion() {
        startLeader();
        testBed.setTargetVersion(2);
        testBed.timers.advance(100);
        replicas.unreachable.add("r7");
        testBed.timers.advance(1_000);
        testBed.setTargetVersion(3);
        testBed.timers.advance(1_000);
        replicas.unreachable.remove("r7");
        replicas.sentOrders.clear();
        testBed.timers.advance(6_000);
        assertEquals(replicas.version("r7"), 3);
        assertEquals(
                replicas.sentOrders.stream()
                        .filter(o -> o.replica().equals("r7"))
                        .map(o -> o.order().version())
                        .distinct()
                        .toList(),
                List.of(3L));
    }

    /**
     * An order gets no reply and has no effect. It is repeated with the same expected number of accepted orders, so
     * that the replica refuses the first one if it still arrives.
     */
    @Test
    public void lostOrderIsRepeatedWithSameOrderCount() {
        replicas.loseOrders = true;
        startLeader();
        testBed.setTargetVersion(2);
        testBed.timers.advance(2_000);
        List<Long> expectedCounts = replicas.sentOrders.stream()
                .filter(o -> o.replica().equals("r0"))
                .map(o -> o.order().ordersBefore())
                .toList();
        assertTrue(expectedCounts.size() > 1);
        assertEquals(expectedCounts.stream().distinct().toList(), List.of(0L));
        replicas.loseOrders = false;
        testBed.timers.advance(4_000);
        assertEquals(replicas.changedVersions().size(), 8);
    }

    /**
     * Two replicas have lost their power and are still listed. They are idle, so the rollout begins with them, and
     * their reports never arrive. If the others waited for them, requests would be rejected for seconds around the time
     * limit of superseded weights.
     */
    @Test
    public void unresponsiveReplicasDoNotDelayOthers() {
        replicas.unreachable.addAll(Set.of("r0", "r1", "r2", "r3"));
        startLeader();
        long targetSetAt = testBed.clock.monotonicMillis();
        testBed.setTargetVersion(2);
        testBed.timers.advance(4_000);
        assertEquals(replicas.changedVersions().keySet(), Set.of("r4", "r5", "r6", "r7"));
        assertTrue(
                replicas.sentOrders.get(3).sentAt() - targetSetAt < 1_500,
                "after " + (replicas.sentOrders.get(3).sentAt() - targetSetAt));
        replicas.unreachable.clear();
        testBed.timers.advance(3_000);
        assertEquals(replicas.changedVersions().size(), 8);
    }

    /**
     * Replicas do not answer, and a report request takes longer than the interval between two. No second request is
     * sent beside the first: its report could arrive first, and the older report would be taken for the replica's
     * state.
     */
    @Test
    public void onlyOneReportRequestIsPendingPerReplica() {
        testBed.startRouter("a", 0);
        testBed.timers.advance(PAUSE_MILLIS + 1_000);
        testBed.replicas.hangReports = true;
        testBed.setTargetVersion(2);
        testBed.timers.advance(2_000);
        assertEquals(testBed.replicas.sentOrders.size(), 0);
        assertTrue(testBed.replicas.reportRequests <= 8, "asked " + testBed.replicas.reportRequests + " times");
    }

    /** A newer target version is set while the rollout is in progress. Replicas skip the superseded version. */
    @Test
    public void replicasSkipSupersededVersion() {
        startLeader();
        testBed.setTargetVersion(2);
        testBed.timers.advance(200);
        testBed.setTargetVersion(3);
        testBed.timers.advance(6_000);
        assertTrue(
                replicas.changedVersions().values().stream().allMatch(v -> v == 3),
                replicas.changedVersions().toString());
        assertTrue(replicas.sentOrders.size() <= 12, "orders: " + replicas.sentOrders.size());
    }

    /** Guards against orders to replicas that leave, and against a rollout that waits for them. */
    @Test
    public void replicaThatReportsItsLeaveGetsNoOrder() {
        replicas.leaving.addAll(Set.of("r0", "r5"));
        startLeader();
        testBed.setTargetVersion(2);
        testBed.timers.advance(4_000);
        assertEquals(replicas.changedVersions().size(), 6);
        assertEquals(replicas.sentOrders.size(), 6);
    }
}
