package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.Test;

public class WeightsViewTest {
    private static final long BOUND = 6_000;

    /**
     * Versions are named every two seconds. Each has a bound of its own: a request must not begin on version 1 later
     * than the bound after version 2, however often newer ones are named.
     */
    @Test
    public void newerNamesDoNotProlongTheUseOfOldWeights() {
        WeightsView view = new WeightsView(BOUND);
        view.name("m", 1, 0);
        assertEquals(view.usableMillis("m", 1, 1_000), Long.MAX_VALUE);
        view.name("m", 2, 10_000);
        view.name("m", 3, 12_000);
        view.name("m", 4, 14_000);
        assertEquals(view.named("m"), 4);
        assertTrue(view.usableMillis("m", 1, 10_000) < BOUND);
        assertTrue(view.usableMillis("m", 1, 16_000) <= 0);
        assertTrue(view.usableMillis("m", 2, 16_000) > 0);
        assertEquals(view.usableMillis("m", 4, 16_000), Long.MAX_VALUE);
    }

    /**
     * A router is restarted five seconds after version 3 was named, while a replica still has version 2. It must not
     * count the bound from its own start: it takes another router's word, and without one leaves only a moment.
     */
    @Test
    public void aRestartDoesNotProlongTheUseOfOldWeights() {
        WeightsView old = new WeightsView(BOUND);
        old.name("m", 3, 10_000);
        old.name("m", 4, 13_000);
        WeightsView restarted = new WeightsView(BOUND);
        restarted.found("m", 4, 15_000);
        assertTrue(restarted.usableMillis("m", 2, 15_000) <= 1_500);
        old.ages(15_000).get("m").forEach((version, age) -> restarted.told("m", version, 15_000 - age));
        assertEquals(restarted.usableMillis("m", 2, 15_000), old.usableMillis("m", 2, 15_000));
        assertEquals(restarted.usableMillis("m", 3, 15_000), old.usableMillis("m", 3, 15_000));
    }

    @Test
    public void newWeightsSettleAfterSomeSeconds() {
        WeightsView view = new WeightsView(BOUND);
        assertTrue(view.settled("m", 1, 10_000));
        view.name("m", 2, 10_000);
        assertFalse(view.settled("m", 2, 12_000));
        assertTrue(view.settled("m", 2, 20_000));
        assertTrue(view.settled("m", 1, 12_000));
    }

    @Test
    public void oldWeightsAreFineForAMoment() {
        WeightsView view = new WeightsView(BOUND);
        view.name("m", 2, 10_000);
        assertFalse(view.penalized("m", 1, 11_000));
        assertTrue(view.penalized("m", 1, 12_000));
        assertFalse(view.penalized("m", 2, 12_000));
    }

    /** The router that changes weights was killed. Its last notice must not keep a replica out of use for good. */
    @Test
    public void aNoticeRunsOut() {
        WeightsView view = new WeightsView(BOUND);
        view.steerAway(Set.of("r"), 1_000);
        assertTrue(view.steered("r", 2_000));
        assertFalse(view.steered("r", 5_000));
    }
}
