package org.hornbeamhead.core.crash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how quickly crash reports reach all routers, in virtual time. */
public class CrashGossipTest {
    private static final RequestFingerprint REQUEST = Fingerprints.content(1);
    private static final long CRASH_INTERVAL_MILLIS = 150;
    /** The time within which all routers must quarantine a request after its third crash. */
    private static final long MAX_PROPAGATION_MILLIS = 1_000;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2, 2, 0.0}, {7, 7, 0.0}, {7, 7, 0.3}, {95, 18, 0.05}, {610, 120, 0.05}};
    }

    /** If routers did not share their counts, a request could crash three replicas per router. */
    @Test(dataProvider = "fleets")
    public void allRoutersQuarantineWithinOneSecond(int count, int activeCount, double loss) {
        GossipingRouters routers = new GossipingRouters(count, activeCount, loss);
        recordCrashes(routers, "r0", "r1", "r" + (count - 1));
        routers.timers.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(quarantiningRouters(routers), count);
    }

    /** Limits the datagrams of the busiest router, both for new reports and later, whatever the size of the fleet. */
    @Test(dataProvider = "fleets")
    public void datagramsPerRouterDoNotGrowWithFleetSize(int count, int activeCount, double loss) {
        GossipingRouters routers = new GossipingRouters(count, activeCount, loss);
        recordCrashes(routers, "r0", "r1", "r0");
        routers.timers.advance(3_000);
        assertTrue(maxSent(routers) <= 150, "datagrams sent by one router: " + maxSent(routers));
        routers.sentByRouter.clear();
        routers.timers.advance(20_000);
        assertTrue(maxSent(routers) <= 66, "datagrams sent by one router: " + maxSent(routers));
    }

    private static int maxSent(GossipingRouters routers) {
        return routers.sentByRouter.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    /** Routers that were partitioned or restarted must receive reports that were sent while they were unreachable. */
    @Test
    public void disconnectedAndRestartedRoutersCatchUp() {
        GossipingRouters routers = new GossipingRouters(7, 7, 0.1);
        routers.reachable = (from, to) -> !from.equals("r6") && !to.equals("r6");
        recordCrashes(routers, "r0", "r1", "r2");
        routers.timers.advance(10_000);
        assertEquals(quarantiningRouters(routers), 6);
        routers.start("r5", 7);
        routers.reachable = (from, to) -> true;
        routers.timers.advance(5_000);
        assertEquals(quarantiningRouters(routers), 7);
    }

    /** Crashes counted on both sides of a partition must be added up once it heals. */
    @Test
    public void partitionsMergeTheirReportsAfterHealing() {
        GossipingRouters routers = new GossipingRouters(8, 8, 0);
        routers.reachable = (from, to) -> (from.charAt(1) - '0') / 4 == (to.charAt(1) - '0') / 4;
        recordCrashes(routers, "r0", "r1", "r7");
        routers.timers.advance(5_000);
        assertEquals(quarantiningRouters(routers), 0);
        routers.reachable = (from, to) -> true;
        routers.timers.advance(5_000);
        assertEquals(quarantiningRouters(routers), 8);
    }

    private static long quarantiningRouters(GossipingRouters routers) {
        return routers.historyByRouter.values().stream()
                .filter(h -> h.quarantineMillis(REQUEST).isPresent())
                .count();
    }

    private static void recordCrashes(GossipingRouters routers, String... observers) {
        IntStream.range(0, observers.length).forEach(i -> {
            routers.timers.advance(CRASH_INTERVAL_MILLIS);
            long now = routers.clock.monotonicMillis();
            routers.historyByRouter.get(observers[i]).recordCrash(new LostAttempt(REQUEST, now, now), i);
        });
    }
}
