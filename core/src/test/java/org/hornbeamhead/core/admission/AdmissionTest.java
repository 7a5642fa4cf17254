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

    /** Returns the choice of a replica with the given number of prompt tokens waiting, at 0.05 ms each. */
    private PlacementChoice choice(long waitingTokens) {
        ReplicaTable table = new ReplicaTable(clock);
        table.setEndpoints(List.of(new Endpoint(EndpointKind.ENGINE, "p", "e", "", "dc", false)));
        table.applyReport("e", new LoadReport("i", "v1", "m", "w", waitingTokens, 0, false));
        PrefixChain chain = PrefixHasher.plain(new PrefixSeed("c", "m", "w", ""), "x".repeat(4_000));
        return PrefixPlacement.predict(
                table.find("e").orElseThrow(), chain, clock.monotonicMillis(), PlacementReason.LEAST_RECOMPUTED);
    }

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {{0, true}, {2_000, true}, {6_000, true}, {8_000, false}, {100_000, false}};
    }

    /** A request that cannot meet the target of its class is refused at once, with a retry time. */
    @Test(dataProvider = "loads")
    public void requestThatCannotMeetItsTargetIsRefused(long waitingTokens, boolean admitted) {
        AdmissionControl control = new AdmissionControl(new SplittableRandom(1));
        AdmissionDecision decision = control.decideInteractive("c", TARGET, choice(waitingTokens), 0);
        assertEquals(decision instanceof AdmissionDecision.Admit, admitted);
        if (decision instanceof AdmissionDecision.Refuse refuse) {
            assertEquals(refuse.reason(), Reason.OVERLOADED);
            assertTrue(refuse.retryAfter().toMillis() >= 50);
        }
    }

    /** A customer sends ten times its share. Under load only this customer is refused, and the other is admitted. */
    @Test
    public void onlyTheCustomerOverItsShareIsRefusedUnderLoad() {
        AdmissionControl control = new AdmissionControl(new SplittableRandom(1));
        PlacementChoice loaded = choice(5_000);
        int largeAdmitted = 0;
        int smallAdmitted = 0;
        for (int i = 0; i < 100; i++) {
            for (int k = 0; k < 10; k++) {
                largeAdmitted +=
                        control.decideInteractive("large", TARGET, loaded, 0) instanceof AdmissionDecision.Admit
                                ? 1
                                : 0;
            }
            smallAdmitted +=
                    control.decideInteractive("small", TARGET, loaded, 0) instanceof AdmissionDecision.Admit ? 1 : 0;
        }
        assertEquals(smallAdmitted, 100);
        assertTrue(largeAdmitted < 150, "admitted requests of the large customer: " + largeAdmitted);
    }

    @Test
    public void singleCustomerIsNeverOverItsShare() {
        FairShare shares = new FairShare();
        shares.recordUsage("a", 1_000_000, 0);
        assertFalse(shares.isOverShare("a", 0));
        shares.recordUsage("b", 10, 0);
        assertTrue(shares.isOverShare("a", 0));
        assertFalse(shares.isOverShare("a", 120_000));
    }

    @DataProvider
    public Object[][] batchCases() {
        return new Object[][] {{0, false, true}, {2_000, false, false}, {2_000, true, true}};
    }

    @Test(dataProvider = "batchCases")
    public void batchRequestWaitsForIdleCapacityUnlessUrgent(long waitingTokens, boolean urgent, boolean admitted) {
        AdmissionControl control = new AdmissionControl(new SplittableRandom(1));
        AdmissionDecision decision = control.decideBatch(400, choice(waitingTokens), urgent, 0);
        assertEquals(decision instanceof AdmissionDecision.Admit, admitted);
    }

    @Test
    public void queueIsBoundedAndOrderedByLatestStart() {
        BatchQueue<String> queue = new BatchQueue<>(3);
        assertTrue(queue.offer("late", 300) && queue.offer("early", 100) && queue.offer("middle", 200));
        assertFalse(queue.offer("more", 50));
        assertTrue(queue.isUrgent(100));
        assertFalse(queue.isUrgent(99));
        assertEquals(queue.poll().orElseThrow(), "early");
        queue.remove("middle");
        assertEquals(queue.poll().orElseThrow(), "late");
        assertEquals(queue.size(), 0);
    }
}
