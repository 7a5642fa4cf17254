package org.hornbeamhead.core.weights;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RolloutPlanTest {
    private final RolloutPlan plan = new RolloutPlan(2, 12_000);

    private static List<WeightsReplica> replicas(int count, double used) {
        return IntStream.range(0, count)
                .mapToObj(i -> replica("r" + i, 1, used))
                .toList();
    }

    /** Versions are named 3 s apart, version 2 just now. */
    private static long usableMillis(long version) {
        return 12_000 + 3_000 * (version - 1);
    }

    private static WeightsReplica replica(String id, long version, double used) {
        return new WeightsReplica(id, version, usableMillis(version), used);
    }

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {8, 0.0, 4},
            {8, 0.2, 4},
            {8, 0.45, 2},
            {8, 0.9, 2},
            {42, 0.1, 21},
            {42, 0.9, 12},
            {3, 0.0, 1},
            {6, 0.1, 3},
            {6, 0.3, 1},
            {6, 0.7, 2},
            {6, 0.45, 1},
            {4, 0.7, 2},
            {2, 0.0, 1}
        };
    }

    /**
     * Callers are given back for seconds, since a change of 42 loaded engines takes longer than replaced weights may be
     * used. Idle replicas change half at a time; loaded ones as many at once as don't slow one another. Six that can
     * spare one of them change one by one, since with two fewer their answers would take seconds; six that are short
     * anyway change two at a time, so that the shortage is brief.
     */
    @Test(dataProvider = "loads")
    public void changesAsManyAsTheOthersBear(int count, double used, int expected) {
        assertEquals(plan.next(replicas(count, used), 2, Set.of(), 1_300).size(), expected);
    }

    @DataProvider
    public Object[][] bounds() {
        return new Object[][] {
            {12_000L, 1_300L, 1}, {6_000L, 1_300L, 2}, {12_000L, 4_000L, 3}, {6_000L, 400L, 1}, {6_000L, 9_000L, 3}
        };
    }

    /**
     * Six busy engines that change one by one are not done when replaced weights go out of use, and callers are given
     * back. As many change at once as the time that a change was seen to take asks for.
     */
    @Test(dataProvider = "bounds")
    public void keepsToTheBound(long bound, long changeMillis, int expected) {
        assertEquals(
                new RolloutPlan(2, bound)
                        .next(replicas(6, 0.3), 2, Set.of(), changeMillis)
                        .size(),
                expected);
    }

    @Test
    public void countsThoseThatAreChanging() {
        assertEquals(
                plan.next(replicas(8, 0), 2, Set.of("r0", "r1", "r2"), 1_300).size(), 1);
        assertEquals(plan.next(replicas(8, 0.9), 2, Set.of("r0", "r1"), 1_300).size(), 0);
    }

    @Test
    public void takesTheLeastBusyFirstAndLeavesThoseThatAreDone() {
        List<WeightsReplica> all = List.of(replica("a", 1, 0.9), replica("b", 2, 0), replica("c", 1, 0.1));
        assertEquals(plan.next(all, 2, Set.of(), 1_300).get(0).id(), "c");
        assertEquals(plan.next(all, 1, Set.of(), 1_300), List.of());
        assertThrows(IllegalArgumentException.class, () -> new RolloutPlan(0, 12_000));
        assertThrows(IllegalArgumentException.class, () -> new RolloutPlan(2, 0));
    }

    /**
     * Callers' requests begin on weights that are out of use. Version 4 is named while version 3 is brought to the
     * replicas; those that have loaded it are idle, those still on version 2 are busy. Version 2 goes out of use first,
     * so that those on it are ordered first, however busy, and the least busy of them before the others.
     */
    @Test
    public void takesThoseFirstWhoseVersionGoesOutOfUseFirst() {
        List<WeightsReplica> all = List.of(
                replica("a", 3, 0),
                replica("b", 3, 0.1),
                replica("c", 2, 0.3),
                replica("d", 3, 0),
                replica("e", 2, 0.2),
                replica("f", 3, 0),
                replica("g", 3, 0),
                replica("h", 3, 0));
        List<String> order = plan.next(all, 4, Set.of(), 1_300).stream()
                .map(WeightsReplica::id)
                .toList();
        assertEquals(order, List.of("e", "c", "a", "d"));
    }
}
