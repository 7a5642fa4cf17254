package org.hornbeamhead.core.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class WorkingRoutersTest {
    @Test
    public void measuresItsOwnRateAndAddsTheOthers() {
        WorkingRouters routers = new WorkingRouters(() -> 63);
        IntStream.range(0, 600).forEach(i -> routers.requested(i * 10L));
        assertEquals(routers.ownRate(6_000), 100, 10);
        routers.heard("b", 50, 6_000);
        assertEquals(routers.allRate(6_000), 150, 10);
        assertEquals(routers.allRate(9_500), 0, 10);
    }

    @Test
    public void aRateEndsWithItsRequests() {
        WorkingRouters routers = new WorkingRouters(() -> 2);
        IntStream.range(0, 100).forEach(i -> routers.requested(i * 10L));
        assertTrue(routers.ownRate(1_000) > 90);
        assertEquals(routers.ownRate(20_000), 0.0);
    }

    /**
     * Callers get failures under a dead engine, since each of the few routers with work may repeat two requests in ten
     * seconds. Eight of 63 routers work: each has a sixteenth of the limit and its part of the half that all share.
     */
    @Test
    public void routersWithWorkShareHalfOfALimit() {
        WorkingRouters working = new WorkingRouters(() -> 63);
        IntStream.range(0, 7).forEach(i -> working.heard("r" + i, 60, 1_000));
        WorkingRouters idle = new WorkingRouters(() -> 63);
        IntStream.range(0, 8).forEach(i -> idle.heard("r" + i, 60, 1_000));
        assertEquals(working.shareOfLimits(), 1.0 / 16 + 1.0 / 126);
        assertTrue(8 * working.shareOfLimits() <= 1);
        assertTrue(idle.shareOfLimits() < working.shareOfLimits());
    }

    /**
     * Replicas get many more repeats than the fleet may send, since routers that are cut off from one another each take
     * themselves for the only one. Those that were heard in the last minute still count.
     */
    @Test
    public void routersThatFellSilentStillCount() {
        WorkingRouters routers = new WorkingRouters(() -> 1);
        IntStream.range(0, 7).forEach(i -> routers.heard("r" + i, 60, 1_000));
        assertEquals(routers.others(30_000), List.of());
        assertEquals(routers.shareOfLimits(), 1.0 / 8);
    }

    /** Just started, it has heard of nobody: it takes no more than an equal part. */
    @Test
    public void whoHasHeardOfNobodyTakesAnEqualPart() {
        assertEquals(new WorkingRouters(() -> 63).shareOfLimits(), 1.0 / 63);
    }
}
