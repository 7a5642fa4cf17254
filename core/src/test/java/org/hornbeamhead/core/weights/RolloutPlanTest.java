package org.hornbeamhead.core.weights;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RolloutPlanTest {
    private final RolloutPlan plan = new RolloutPlan(2);

    private static List<WeightsReplica> replicas(int count, double used) {
        return IntStream.range(0, count)
                .mapToObj(i -> new WeightsReplica("r" + i, 1, used))
                .toList();
    }

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {8, 0.0, 4}, {8, 0.2, 4}, {8, 0.45, 2}, {8, 0.9, 2}, {42, 0.1, 21}, {42, 0.9, 12}, {3, 0.0, 2}
        };
    }

    /**
     * Callers are given back for seconds, since a change of 42 loaded engines takes longer than replaced weights may be
     * used. Idle replicas change half at a time; loaded ones as many at once as don't slow one another.
     */
    @Test(dataProvider = "loads")
    public void changesAsManyAsTheOthersBear(int count, double used, int expected) {
        assertEquals(plan.next(replicas(count, used), 2, Set.of()).size(), expected);
    }

    @Test
    public void countsThoseThatAreChanging() {
        assertEquals(plan.next(replicas(8, 0), 2, Set.of("r0", "r1", "r2")).size(), 1);
        assertEquals(plan.next(replicas(8, 0.9), 2, Set.of("r0", "r1")).size(), 0);
    }

    @Test
    public void takesTheLeastBusyFirstAndLeavesThoseThatAreDone() {
        List<WeightsReplica> all = List.of(
                new WeightsReplica("a", 1, 0.9), new WeightsReplica("b", 2, 0), new WeightsReplica("c", 1, 0.1));
        assertEquals(plan.next(all, 2, Set.of()).get(0).id(), "c");
        assertEquals(plan.next(all, 1, Set.of()), List.of());
        assertThrows(IllegalArgumentException.class, () -> new RolloutPlan(0));
    }
}
