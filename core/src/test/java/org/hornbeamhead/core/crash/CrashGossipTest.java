package org.hornbeamhead.core.crash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How soon all routers know what one of them saw, in virtual time. */
public class CrashGossipTest {
    private static final RequestFingerprint REQUEST = new RequestFingerprint(1);
    private static final long CRASH_EVERY_MILLIS = 150;
    /** The shortest time after which a request that is known to end replicas must be held back everywhere. */
    private static final long KNOWN_WITHIN_MILLIS = 1_000;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2, 2, 0.0}, {7, 7, 0.0}, {7, 7, 0.3}, {95, 18, 0.05}, {610, 120, 0.05}};
    }

    /** Guards against routers that each count for themselves, so that a request ends three replicas a router. */
    @Test(dataProvider = "fleets")
    public void allKnowWithinASecond(int count, int working, double loss) {
        GossipingRouters routers = new GossipingRouters(count, working, loss);
        crashesSeenBy(routers, "r0", "r1", "r" + (count - 1));
        routers.timers.advance(KNOWN_WITHIN_MILLIS);
        assertEquals(holding(routers), count);
    }

    /** Guards against work that grows with the fleet: datagrams of the busiest router, when it is new and later. */
    @Test(dataProvider = "fleets")
    public void aRouterSendsNoMoreInALargeFleet(int count, int working, double loss) {
        GossipingRouters routers = new GossipingRouters(count, working, loss);
        crashesSeenBy(routers, "r0", "r1", "r0");
        routers.timers.advance(3_000);
        assertTrue(most(routers) <= 150, "sent " + most(routers));
        routers.sent.clear();
        routers.timers.advance(20_000);
        assertTrue(most(routers) <= 66, "sent " + most(routers));
    }

    private static int most(GossipingRouters routers) {
        return routers.sent.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** Guards against routers that were cut off, or started later, and never hear. */
    @Test
    public void thoseThatWereAwayCatchUp() {
        GossipingRouters routers = new GossipingRouters(7, 7, 0.1);
        routers.reaches = (from, to) -> !from.equals("r6") && !to.equals("r6");
        crashesSeenBy(routers, "r0", "r1", "r2");
        routers.timers.advance(10_000);
        assertEquals(holding(routers), 6);
        routers.start("r5", 7);
        routers.reaches = (from, to) -> true;
        routers.timers.advance(5_000);
        assertEquals(holding(routers), 7);
    }

    /** Guards against two sides of a cut that each go on counting from what they saw alone. */
    @Test
    public void twoSidesOfACutJoinWhatTheySaw() {
        GossipingRouters routers = new GossipingRouters(8, 8, 0);
        routers.reaches = (from, to) -> (from.charAt(1) - '0') / 4 == (to.charAt(1) - '0') / 4;
        crashesSeenBy(routers, "r0", "r1", "r7");
        routers.timers.advance(5_000);
        assertEquals(holding(routers), 0);
        routers.reaches = (from, to) -> true;
        routers.timers.advance(5_000);
        assertEquals(holding(routers), 8);
    }

    private static long holding(GossipingRouters routers) {
        return routers.histories.values().stream()
                .filter(h -> h.heldMillis(REQUEST).isPresent())
                .count();
    }

    private static void crashesSeenBy(GossipingRouters routers, String... names) {
        IntStream.range(0, names.length).forEach(i -> {
            routers.timers.advance(CRASH_EVERY_MILLIS);
            long now = routers.clock.monotonicMillis();
            routers.histories.get(names[i]).crashed(new LostRun(REQUEST, now, now), i);
        });
    }
}
