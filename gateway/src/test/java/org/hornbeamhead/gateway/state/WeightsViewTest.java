package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.Test;

public class WeightsViewTest {
    private static final long BOUND = 6_000;

    /**
     * Versions are published every two seconds. Each has a bound of its own: no request may begin on version 1 later
     * than the bound after version 2, however often newer versions are published.
     */
    @Test
    public void newerVersionsDoNotExtendUseOfOldWeights() {
        WeightsView view = new WeightsView(BOUND);
        view.recordPublished("m", 1, 0);
        assertEquals(view.usableMillis("m", 1, 1_000), Long.MAX_VALUE);
        view.recordPublished("m", 2, 10_000);
        view.recordPublished("m", 3, 12_000);
        view.recordPublished("m", 4, 14_000);
        assertEquals(view.latestVersion("m"), 4);
        assertTrue(view.usableMillis("m", 1, 10_000) < BOUND);
        assertTrue(view.usableMillis("m", 1, 16_000) <= 0);
        assertTrue(view.usableMillis("m", 2, 16_000) > 0);
        assertEquals(view.usableMillis("m", 4, 16_000), Long.MAX_VALUE);
    }

    /**
     * A router is restarted five seconds after version 3 was published, while a replica still has version 2. It must
     * not count the bound from its own start. It must use the publication time reported by another router, and without
     * one allow only a short time.
     */
    @Test
    public void restartDoesNotExtendUseOfOldWeights() {
        WeightsView old = new WeightsView(BOUND);
        old.recordPublished("m", 3, 10_000);
        old.recordPublished("m", 4, 13_000);
        WeightsView restarted = new WeightsView(BOUND);
        restarted.recordFound("m", 4, 15_000);
        assertTrue(restarted.usableMillis("m", 2, 15_000) <= 1_500);
        exchange(old, restarted, 15_000);
        assertEquals(restarted.usableMillis("m", 2, 15_000), old.usableMillis("m", 2, 15_000));
        assertEquals(restarted.usableMillis("m", 3, 15_000), old.usableMillis("m", 3, 15_000));
    }

    /**
     * All routers are restarted in turn while versions are published. One starts after the publication of version 3 and
     * observes that of version 4. The next one starts later and queries the first. Neither knows when version 3 was
     * published, so version 2 must not be usable for the bound after version 4.
     */
    @Test
    public void unobservedPublicationIsNotExtendedByLaterOnes() {
        WeightsView early = new WeightsView(BOUND);
        early.recordFound("m", 3, 9_000);
        early.recordPublished("m", 4, 10_800);
        WeightsView late = new WeightsView(BOUND);
        late.recordFound("m", 4, 12_000);
        exchange(early, late, 12_200);
        assertTrue(late.usableMillis("m", 2, 13_500) <= 0, "left: " + late.usableMillis("m", 2, 13_500));
        assertEquals(late.usableMillis("m", 3, 13_500), early.usableMillis("m", 3, 13_500));
    }

    /**
     * Of two routers that observed a publication, the one whose last read without the version was later has the closer
     * estimate of its age.
     */
    @Test
    public void latestReadWithoutTheVersionIsUsed() {
        WeightsView one = new WeightsView(BOUND);
        one.recordPublished("m", 2, 10_000);
        WeightsView other = new WeightsView(BOUND);
        other.recordPublished("m", 2, 10_600);
        exchange(other, one, 11_000);
        exchange(one, other, 11_000);
        assertEquals(one.usableMillis("m", 1, 11_000), other.usableMillis("m", 1, 11_000));
        WeightsView alone = new WeightsView(BOUND);
        alone.recordPublished("m", 2, 10_600);
        assertEquals(one.usableMillis("m", 1, 11_000), alone.usableMillis("m", 1, 11_000));
    }

    /**
     * A router missed version 2 and knows the maximum age of version 3. Another router only found version 2 at its
     * start, and reports a later estimate for it. The estimate must not extend the use of version 1.
     */
    @Test
    public void estimateOfSkippedVersionDoesNotExtendUse() {
        WeightsView view = new WeightsView(BOUND);
        view.recordPublished("m", 3, 2_000);
        long left = view.usableMillis("m", 1, 9_000);
        view.recordFromPeer(new NamedAge("m", 2, 1_000, true), 9_000);
        assertEquals(view.usableMillis("m", 1, 9_000), left);
    }

    private static void exchange(WeightsView from, WeightsView to, long nowMillis) {
        from.publicationAges(nowMillis).forEach(age -> to.recordFromPeer(age, nowMillis));
    }

    @Test
    public void newVersionSettlesAfterDelay() {
        WeightsView view = new WeightsView(BOUND);
        assertTrue(view.isSettled("m", 1, 10_000));
        view.recordPublished("m", 2, 10_000);
        assertFalse(view.isSettled("m", 2, 12_000));
        assertTrue(view.isSettled("m", 2, 20_000));
        assertTrue(view.isSettled("m", 1, 12_000));
    }

    @Test
    public void oldWeightsArePenalizedAfterDelay() {
        WeightsView view = new WeightsView(BOUND);
        view.recordPublished("m", 2, 10_000);
        assertFalse(view.isPenalized("m", 1, 11_000));
        assertTrue(view.isPenalized("m", 1, 12_000));
        assertFalse(view.isPenalized("m", 2, 12_000));
    }

    /** The router that changes weights was killed. Its last notice must not exclude a replica permanently. */
    @Test
    public void pendingWeightChangeNoticeExpires() {
        WeightsView view = new WeightsView(BOUND);
        view.setPendingWeightChanges(Set.of("r"), 1_000);
        assertTrue(view.isWeightChangePending("r", 2_000));
        assertFalse(view.isWeightChangePending("r", 5_000));
    }
}
