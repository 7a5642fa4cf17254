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

    private static List<RolloutReplica> replicas(int count, double memoryUse) {
        return IntStream.range(0, count)
                .mapToObj(i -> replica("r" + i, 1, memoryUse))
                .toList();
    }

    /** Versions are named 3 s apart, version 2 just now. */
    private static long usableMillis(long version) {
        return 12_000 + 3_000 * (version - 1);
    }

    private static RolloutReplica replica(String id, long version, double memoryUse) {
        return new RolloutReplica(id, version, usableMillis(version), memoryUse);
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
     * Guards against requests that are rejected for seconds because a change of 42 loaded engines takes longer than
     * superseded weights may be used. Half of the idle replicas change at a time; of loaded ones, as many as do not
     * slow one another. Six replicas that can spare one change one by one, since with two fewer their answers would
     * take seconds; six that are short anyway change two at a time, so that the shortage is brief.
     */
    @Test(dataProvider = "loads")
    public void numberOfParallelChangesDependsOnLoad(int count, double memoryUse, int expected) {
        assertEquals(plan.next(replicas(count, memoryUse), 2, Set.of(), 1_300).size(), expected);
    }

    @DataProvider
    public Object[][] bounds() {
        return new Object[][] {
            {12_000L, 1_300L, 1}, {6_000L, 1_300L, 2}, {12_000L, 4_000L, 3}, {6_000L, 400L, 1}, {6_000L, 9_000L, 3}
        };
    }

    /**
     * Six busy engines that change one by one are not done when superseded weights expire, and requests are rejected.
     * As many must change at once as the observed duration of a change requires.
     */
    @Test(dataProvider = "bounds")
    public void meetsTheBound(long boundMillis, long changeMillis, int expected) {
        assertEquals(
                new RolloutPlan(2, boundMillis)
                        .next(replicas(6, 0.3), 2, Set.of(), changeMillis)
                        .size(),
                expected);
    }

    @Test
    public void countsReplicasThatAreChanging() {
        assertEquals(
                plan.next(replicas(8, 0), 2, Set.of("r0", "r1", "r2"), 1_300).size(), 1);
        assertEquals(plan.next(replicas(8, 0.9), 2, Set.of("r0", "r1"), 1_300).size(), 0);
    }

    @Test
    public void ordersLeastBusyFirstAndSkipsDone() {
        List<RolloutReplica> replicas = List.of(replica("a", 1, 0.9), replica("b", 2, 0), replica("c", 1, 0.1));
        assertEquals(plan.next(replicas, 2, Set.of(), 1_300).get(0).id(), "c");
        assertEquals(plan.next(replicas, 1, Set.of(), 1_300), List.of());
        assertThrows(IllegalArgumentException.class, () -> new RolloutPlan(0, 12_000));
        assertThrows(IllegalArgumentException.class, () -> new RolloutPlan(2, 0));
    }

    /**
     * Guards against requests that start on expired weights. Version 4 is named during the rollout of version 3:
     * replicas on version 3 are idle, those on version 2 are busy. Version 2 expires first, so its replicas must be
     * ordered before the others, however busy, and the least busy of them first.
     */
    @Test
    public void ordersEarliestExpiringVersionFirst() {
        List<RolloutReplica> replicas = List.of(
                replica("a", 3, 0),
                replica("b", 3, 0.1),
                replica("c", 2, 0.3),
                replica("d", 3, 0),
                replica("e", 2, 0.2),
                replica("f", 3, 0),
                replica("g", 3, 0),
                replica("h", 3, 0));
        List<String> order = plan.next(replicas, 4, Set.of(), 1_300).stream()
                .map(RolloutReplica::id)
                .toList();
        assertEquals(order, List.of("e", "c", "a", "d"));
    }
}
