package org.hornbeamhead.gateway.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.hornbeamhead.gateway.duty.FakePlatformStore.Call;
import org.hornbeamhead.gateway.duty.FakeReplicas.SentOrder;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the pause between the orders of two leaders when leaders end and nobody leads for a while. */
public class LeaderVacancyTest {
    private static final long PAUSE_MILLIS = RolloutTestBed.PAUSE_MILLIS;
    private static final long LOAD_MILLIS = 320;
    private static final long LEASE_TTL_MILLIS = 1_000;
    private static final long HEARTBEAT_MILLIS = 100;
    private static final long STEP_MILLIS = 50;
    private static final long ROLLOUT_MILLIS = 12_000;
    /** The allowance for ticks, ranks, the announcement before an order, and reports. */
    private static final long TOLERANCE_MILLIS = 700;

    private RolloutTestBed testBed;

    /** How a router comes to miss a leader, beside not hearing of changes of the store. */
    private record Absence(String name, Consumer<RolloutTestBed.Router> begin, Consumer<RolloutTestBed.Router> end) {
        private static final List<Absence> ALL = List.of(
                new Absence("suspended", RolloutTestBed.Router::suspend, RolloutTestBed.Router::resume),
                new Absence("lagging", router -> {}, router -> {}),
                new Absence(
                        "without path",
                        router -> router.setReachesReplicas(false),
                        router -> router.setReachesReplicas(true)));

        @Override
        public String toString() {
            return name;
        }
    }

    private RolloutTestBed.Router start(int replicas) {
        testBed = new RolloutTestBed(replicas, 8_000, () -> LOAD_MILLIS);
        testBed.startHeartbeats(HEARTBEAT_MILLIS);
        RolloutTestBed.Router router = testBed.startRouter("a", 0);
        testBed.timers.advance(PAUSE_MILLIS + 1_000);
        return router;
    }

    private void rollOut(long version) {
        testBed.setTargetVersion(version);
        advanceUntilAllServe(version);
        testBed.timers.advance(HEARTBEAT_MILLIS);
    }

    /** Kills the router that sent the last order. If it still holds the lease, its record vanishes with it. */
    private void killLeader(RolloutTestBed.Router leader, String name) {
        assertEquals(lastLeader(), name);
        leader.kill();
        testBed.timers.advance(LEASE_TTL_MILLIS);
        testBed.expireLeaseOf(name);
    }

    private String lastLeader() {
        List<SentOrder> orders = testBed.replicas.sentOrders;
        return orders.get(orders.size() - 1).order().holder();
    }

    private void advanceUntilAllServe(long version) {
        long end = testBed.clock.monotonicMillis() + ROLLOUT_MILLIS;
        while (!servesEverywhere(version)) {
            assertTrue(testBed.clock.monotonicMillis() < end, "version " + version + " is not served everywhere");
            testBed.timers.advance(STEP_MILLIS);
        }
    }

    private boolean servesEverywhere(long version) {
        return testBed.replicas.changedVersions().values().stream()
                        .filter(v -> v == version)
                        .count()
                == testBed.replicaCount();
    }

    private void assertPausesKept() {
        Map<String, List<SentOrder>> ordersByReplica =
                testBed.replicas.sentOrders.stream().collect(Collectors.groupingBy(SentOrder::replica));
        ordersByReplica.values().forEach(LeaderVacancyTest::assertPauseKept);
    }

    private static void assertPauseKept(List<SentOrder> orders) {
        for (int i = 1; i < orders.size(); i++) {
            SentOrder previous = orders.get(i - 1);
            SentOrder next = orders.get(i);
            boolean sameLeader = previous.order().holder().equals(next.order().holder());
            long gapMillis = next.sentAt() - previous.sentAt();
            assertTrue(sameLeader || gapMillis >= PAUSE_MILLIS, next + " " + gapMillis + " ms after " + previous);
        }
    }

    @DataProvider
    public Object[][] absences() {
        List<Object[]> rows = new ArrayList<>();
        for (Absence absence : Absence.ALL) {
            for (boolean asSnapshot : new boolean[] {false, true}) {
                for (long catchUpMillis : new long[] {0, 400}) {
                    for (long targetMillis : new long[] {-100, 100, 900}) {
                        rows.add(new Object[] {absence, asSnapshot, catchUpMillis, targetMillis});
                    }
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * Guards against a router that misses a leader and counts the pause from the end of the one before.
     *
     * @param asSnapshot whether the router catches up by a snapshot, because the store has discarded its history
     * @param catchUpMillis how long after its return the router catches up with the store
     * @param targetMillis when the next target version is set, from the return of the router
     */
    @Test(dataProvider = "absences")
    public void routerThatMissedLeaderKeepsPause(
            Absence absence, boolean asSnapshot, long catchUpMillis, long targetMillis) {
        RolloutTestBed.Router first = start(2);
        RolloutTestBed.Router absent = testBed.startRouterWithMirror("b", 1);
        RolloutTestBed.Router second = testBed.startRouter("c", 0);
        rollOut(2);
        killLeader(first, "a");
        testBed.timers.advance(2_300);
        absence.begin.accept(absent);
        absent.stopHearingStore();
        rollOut(3);
        killLeader(second, "c");
        if (targetMillis < 0) {
            testBed.setTargetVersion(4);
        }
        testBed.timers.advance(100);
        absence.end.accept(absent);
        testBed.timers.advance(catchUpMillis);
        absent.catchUp(testBed.mirror, asSnapshot);
        if (targetMillis >= 0) {
            testBed.timers.advance(Math.max(0, targetMillis - catchUpMillis));
            testBed.setTargetVersion(4);
        }
        advanceUntilAllServe(4);
        assertPausesKept();
    }

    @DataProvider
    public Object[][] lateCalls() {
        return new Object[][] {
            {Call.MARK_FREE, true, false},
            {Call.ACQUIRE, true, true},
            {Call.ACQUIRE, true, false},
            {Call.ACQUIRE, false, true},
            {Call.ACQUIRE, false, false},
            {Call.RENEW, true, true},
            {Call.RENEW, false, true},
            {Call.RELEASE, false, true},
            {Call.REVOKE, false, true},
        };
    }

    /**
     * Guards against a call of one vacancy that the store executes in the next one, where its condition holds again.
     *
     * @param call the call that gets no answer and is executed after the end of the second leader
     * @param killed whether the first leader is killed while it holds the lease, or after it has released it
     * @param atFirst whether the call is one of the first leader, or one after it
     */
    @Test(dataProvider = "lateCalls")
    public void lateCallDoesNotShortenPause(Call call, boolean killed, boolean atFirst) {
        RolloutTestBed.Router first = start(2);
        Map<String, RolloutTestBed.Router> others =
                Map.of("b", testBed.startRouter("b", 1), "c", testBed.startRouter("c", 2));
        if (atFirst) {
            testBed.store.loseNext(call);
        }
        rollOut(2);
        if (!killed) {
            testBed.timers.advance(2 * PAUSE_MILLIS);
        }
        killLeader(first, "a");
        if (!atFirst) {
            testBed.store.loseNext(call);
        }
        testBed.timers.advance(2 * PAUSE_MILLIS);
        rollOut(3);
        assertTrue(testBed.store.hasLostCall());
        killLeader(others.get(lastLeader()), lastLeader());
        testBed.store.executeLostCall();
        testBed.setTargetVersion(4);
        advanceUntilAllServe(4);
        assertPausesKept();
    }

    @DataProvider
    public Object[][] vacancies() {
        return new Object[][] {{1, false}, {1, true}, {3, false}, {3, true}};
    }

    /**
     * Guards against a router that waits for the pause although it has seen the whole of it pass.
     *
     * @param routers how many routers are left
     * @param markFreeIsLost whether the record that nobody leads is lost
     */
    @Test(dataProvider = "vacancies")
    public void orderIsSentAtOnceAfterPauseHasPassed(int routers, boolean markFreeIsLost) {
        RolloutTestBed.Router first = start(2);
        IntStream.range(1, routers + 1).forEach(rank -> testBed.startRouter("b" + rank, rank));
        rollOut(2);
        killLeader(first, "a");
        if (markFreeIsLost) {
            testBed.store.loseNext(Call.MARK_FREE);
        }
        testBed.timers.advance(PAUSE_MILLIS + 3 * TOLERANCE_MILLIS);
        long targetSetAt = testBed.clock.monotonicMillis();
        testBed.setTargetVersion(3);
        advanceUntilAllServe(3);
        long firstOrderAt = testBed.replicas.sentOrders.stream()
                .filter(o -> o.order().version() == 3)
                .mapToLong(SentOrder::sentAt)
                .min()
                .orElseThrow();
        assertEquals(testBed.store.hasLostCall(), markFreeIsLost);
        assertTrue(firstOrderAt - targetSetAt <= TOLERANCE_MILLIS, "after " + (firstOrderAt - targetSetAt) + " ms");
    }
}
