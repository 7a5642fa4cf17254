package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SuspensionDetectorTest {
    private static final long BOUND = 8_000;

    @DataProvider
    public Object[][] jumps() {
        return new Object[][] {
            {0L, List.of()}, {150L, List.of()}, {-5_000L, List.of()}, {700L, List.of(700L)}, {5_000L, List.of(5_000L)}
        };
    }

    @Test(dataProvider = "jumps")
    public void reportsWallClockAdvance(long millis, List<Long> expected) {
        ManualClock clock = new ManualClock(1_000_000);
        ManualTimers timers = new ManualTimers(clock);
        List<Long> reported = new ArrayList<>();
        new SuspensionDetector(timers, clock, reported::add).start();
        timers.advance(1_000);
        clock.skewWall(millis);
        timers.advance(1_000);
        assertEquals(reported, expected);
    }

    /**
     * New weights are published. Two seconds later the machine is suspended for five seconds, which its monotonic clock
     * does not count. Eight seconds after the publication the old weights must no longer be usable, and the publication
     * time that another router reports soon afterwards must confirm that.
     */
    @Test
    public void suspendedTimeCountsTowardsTheBound() {
        ManualClock clock = new ManualClock(1_000_000);
        ManualTimers timers = new ManualTimers(clock);
        WeightsView weights = new WeightsView(BOUND);
        new SuspensionDetector(timers, clock, weights::addSuspendedTime).start();
        WeightsView other = new WeightsView(BOUND);
        long publishedAt = clock.monotonicMillis();
        weights.recordPublished("m", 2, publishedAt);
        other.recordPublished("m", 2, publishedAt);
        timers.advance(2_000);
        clock.skewWall(5_000);
        timers.advance(1_000);
        long now = clock.monotonicMillis();
        assertTrue(weights.usableMillis("m", 1, now) <= 0);
        assertTrue(weights.hasEstimates());
        other.publicationAges(publishedAt + BOUND).forEach(age -> weights.recordFromPeer(age, now));
        assertFalse(weights.hasEstimates());
        assertTrue(weights.usableMillis("m", 1, now) <= 0);
    }

    /** Only the wall clock was set. The times reported by other routers must restore the former state. */
    @Test
    public void peerRestoresAgesAfterClockChange() {
        WeightsView weights = new WeightsView(BOUND);
        weights.recordPublished("m", 2, 10_000);
        WeightsView other = new WeightsView(BOUND);
        other.recordPublished("m", 2, 10_000);
        weights.addSuspendedTime(60_000);
        assertTrue(weights.usableMillis("m", 1, 12_000) <= 0);
        other.publicationAges(12_000).forEach(age -> weights.recordFromPeer(age, 12_000));
        assertEquals(weights.usableMillis("m", 1, 12_000), other.usableMillis("m", 1, 12_000));
    }
}
