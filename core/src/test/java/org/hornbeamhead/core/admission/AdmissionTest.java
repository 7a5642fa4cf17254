package org.hornbeamhead.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.core.outcome.Reason;
import org.hornbeamhead.core.placement.PlacementChoice;
import org.hornbeamhead.core.placement.PlacementReason;
import org.hornbeamhead.core.placement.PlacementTarget;
import org.hornbeamhead.core.placement.PrefixPlacement;
import org.hornbeamhead.core.placement.ReplicaTable;
import org.hornbeamhead.core.prefix.PrefixChain;
import org.hornbeamhead.core.prefix.PrefixHasher;
import org.hornbeamhead.core.prefix.PrefixSeed;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AdmissionTest {
    private static final PlacementTarget TARGET = new PlacementTarget(400, false);

    private final ManualClock clock = new ManualClock(0);

    /** A replica with so many prompt tokens ahead, at 0.05 ms each. */
    private PlacementChoice choice(long waitingTokens) {
        ReplicaTable table = new ReplicaTable(clock);
        table.setEndpoints(List.of(new Endpoint(EndpointKind.ENGINE, "p", "e", "", "dc", false)));
        table.applyReport("e", new LoadReport("i", "m", "w", waitingTokens, 0, false));
        PrefixChain chain = PrefixHasher.plain(new PrefixSeed("c", "m", "w", ""), "x".repeat(4_000));
        return PrefixPlacement.predict(
                table.find("e").orElseThrow(), chain, clock.monotonicMillis(), PlacementReason.LEAST_RECOMPUTED);
    }

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {{0, true}, {2_000, true}, {6_000, true}, {8_000, false}, {100_000, false}};
    }

    // The pool is too busy for the class's target. The caller is told so at once, with when to come back.
    @Test(dataProvider = "loads")
    public void whatCannotMeetItsTargetIsRefusedAtOnce(long waiting, boolean admitted) {
        AdmissionControl control = new AdmissionControl(new SplittableRandom(1));
        AdmissionDecision decision = control.interactive("c", TARGET, choice(waiting), 0);
        assertEquals(decision instanceof AdmissionDecision.Admit, admitted);
        if (decision instanceof AdmissionDecision.Refuse refuse) {
            assertEquals(refuse.reason(), Reason.OVERLOADED);
            assertTrue(refuse.retryAfter().toMillis() >= 50);
        }
    }

    // A large customer sends ten times its part. Under pressure it alone is refused; the small ones are let in.
    @Test
    public void underPressureOnlyTheCustomerOverItsShareIsRefused() {
        AdmissionControl control = new AdmissionControl(new SplittableRandom(1));
        PlacementChoice pressed = choice(5_000);
        int large = 0;
        int small = 0;
        for (int i = 0; i < 100; i++) {
            for (int k = 0; k < 10; k++) {
                large += control.interactive("large", TARGET, pressed, 0) instanceof AdmissionDecision.Admit ? 1 : 0;
            }
            small += control.interactive("small", TARGET, pressed, 0) instanceof AdmissionDecision.Admit ? 1 : 0;
        }
        assertEquals(small, 100);
        assertTrue(large < 150, "the large one got " + large);
    }

    @Test
    public void aLoneCustomerIsNeverOverItsShare() {
        FairShare shares = new FairShare();
        shares.used("a", 1_000_000, 0);
        assertFalse(shares.isOver("a", 0));
        shares.used("b", 10, 0);
        assertTrue(shares.isOver("a", 0));
        assertFalse(shares.isOver("a", 120_000));
    }

    @DataProvider
    public Object[][] batch() {
        return new Object[][] {{0, false, true}, {2_000, false, false}, {2_000, true, true}};
    }

    @Test(dataProvider = "batch")
    public void batchWaitsForSlackUntilItsDeadlinePresses(long waiting, boolean pressing, boolean admitted) {
        AdmissionControl control = new AdmissionControl(new SplittableRandom(1));
        AdmissionDecision decision = control.batch(400, choice(waiting), pressing, 0);
        assertEquals(decision instanceof AdmissionDecision.Admit, admitted);
    }

    @Test
    public void theEarliestDeadlineGoesFirstAndTheQueueIsBounded() {
        BatchQueue<String> queue = new BatchQueue<>(3);
        assertTrue(queue.offer("late", 300) && queue.offer("early", 100) && queue.offer("middle", 200));
        assertFalse(queue.offer("more", 50));
        assertTrue(queue.isPressing(100));
        assertFalse(queue.isPressing(99));
        assertEquals(queue.poll().orElseThrow(), "early");
        queue.remove("middle");
        assertEquals(queue.poll().orElseThrow(), "late");
        assertEquals(queue.size(), 0);
    }
}
