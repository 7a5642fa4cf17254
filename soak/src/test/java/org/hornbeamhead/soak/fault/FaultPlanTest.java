package org.hornbeamhead.soak.fault;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

public class FaultPlanTest {
    @Test
    public void theSameSeedGivesTheSamePlan() {
        assertEquals(FaultPlan.draw(7, 60_000, 4, 12, 3, 2, 2, 2), FaultPlan.draw(7, 60_000, 4, 12, 3, 2, 2, 2));
        assertNotEquals(FaultPlan.draw(7, 60_000, 4, 12, 3, 2, 2, 2), FaultPlan.draw(8, 60_000, 4, 12, 3, 2, 2, 2));
    }

    @Test
    public void everyKindComesAndSomeOverlap() {
        Set<FaultKind> kinds = LongStream.range(0, 20)
                .mapToObj(seed -> FaultPlan.draw(seed, 30_000, 4, 12, 3, 2, 2, 2))
                .flatMap(p -> p.faults().stream())
                .map(FaultPlan.Fault::kind)
                .collect(Collectors.toSet());
        assertEquals(kinds, Set.of(FaultKind.values()));
        FaultPlan plan = FaultPlan.draw(1, 60_000, 4, 12, 3, 2, 2, 2);
        assertTrue(plan.faults().stream()
                .anyMatch(f -> plan.faults().stream().anyMatch(g -> g.at() > f.at() && g.at() < f.at() + f.lasting())));
    }

    @Test
    public void faultsBeginInTheirTimeAndStrikeWhatIsThere() {
        FaultPlan.draw(3, 60_000, 4, 12, 3, 2, 2, 2).faults().forEach(f -> {
            assertTrue(f.at() >= 3_000 && f.at() < 60_000, f.toString());
            assertTrue(f.index() < (f.kind().name().startsWith("REPLICA_") ? 12 : 4), f.toString());
        });
    }
}
