package org.hornbeamhead.core.limit;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that routers hold a replica's limit together, from what the replica sees. */
public class LimiterFleetTest {
    private static final double NO_LIMIT = Double.POSITIVE_INFINITY;
    private static final long STATED_MILLIS = 10_000;
    /** The limit binds this long after it was first stated. */
    private static final long NOTICE_MILLIS = 3_000;
    /** Half a second longer than the window of the promise, since the replica may count in steps. */
    private static final long WINDOW_MILLIS = 4_500;

    private static final long END_MILLIS = 40_000;

    private static long allowed(double limit) {
        return (long) Math.floor(1.5 * limit * 4) + 5;
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            // routers, limit, requests a second, lost hints
            {1, 2.2, 8, 0.0},
            {7, 2.5, 8, 0.0},
            {7, 2.2, 100, 0.0},
            {7, 0.05, 8, 0.0},
            {7, 0.0, 8, 0.0},
            {8, 20, 60, 0.0},
            {8, 2.2, 8, 0.2},
            {16, 5, 20, 0.05},
            {95, 2.5, 8, 0.05},
        };
    }

    /** Guards against a sum over all routers that is more than the replica takes. */
    @Test(dataProvider = "fleets")
    public void allRoutersTogetherHoldTheLimit(int routers, double limit, double rate, double lost) {
        LimiterFleet fleet = new LimiterFleet(routers, 1, t -> t < STATED_MILLIS ? NO_LIMIT : limit);
        fleet.loseHints(lost);
        fleet.run(STATED_MILLIS, Math.min(rate, 8));
        fleet.run(END_MILLIS, rate);
        long worst = fleet.worstWindow(WINDOW_MILLIS, STATED_MILLIS + NOTICE_MILLIS);
        assertTrue(worst <= allowed(limit), worst + " requests, allowed " + allowed(limit));
        long expected = (long) (limit * (END_MILLIS - STATED_MILLIS - 5_000) / 1_000 * 0.7);
        long sent = fleet.sends(STATED_MILLIS + 5_000, END_MILLIS);
        assertTrue(sent >= expected, sent + " requests, expected " + expected);
    }

    /** Guards against a limit that outlives what the replica states. */
    @Test
    public void limitEndsWhenTheReplicaStatesNoneAnyMore() {
        LimiterFleet fleet = new LimiterFleet(7, 2, t -> t > STATED_MILLIS && t < 20_000 ? 2.2 : NO_LIMIT);
        fleet.run(END_MILLIS, 50);
        long sent = fleet.sends(22_000, END_MILLIS);
        assertTrue(sent > 0.9 * 50 * 18, sent + " requests");
    }

    /** Guards against a limit of zero that nobody asks about again. */
    @Test
    public void limitOfZeroEndsToo() {
        LimiterFleet fleet = new LimiterFleet(7, 3, t -> t > STATED_MILLIS && t < 20_000 ? 0 : NO_LIMIT);
        fleet.run(END_MILLIS, 50);
        assertTrue(fleet.sends(STATED_MILLIS + 1_000, 20_000) <= 4);
        assertTrue(fleet.sends(28_000, END_MILLIS) > 0.9 * 50 * 12);
    }

    /** Guards against routers that start anew and do not know what the others sent. */
    @Test
    public void restartedRouterLearnsTheLimitFromOthers() {
        LimiterFleet fleet = new LimiterFleet(7, 4, t -> 2.2);
        for (int i = 0; i < 20; i++) {
            fleet.run(10_000 + i * 1_000L, 8);
            fleet.restart(i % 7);
        }
        assertTrue(fleet.worstWindow(WINDOW_MILLIS, 10_000) <= allowed(2.2));
    }

    /** Guards against a limit that is forgotten for longer than one round trip when all routers start anew. */
    @Test
    public void allRoutersRestartAtOnce() {
        LimiterFleet fleet = new LimiterFleet(7, 5, t -> 2.2);
        fleet.run(20_000, 8);
        fleet.restartAll();
        fleet.run(END_MILLIS, 8);
        assertTrue(fleet.worstWindow(WINDOW_MILLIS, 20_000 + NOTICE_MILLIS) <= allowed(2.2));
    }
}
