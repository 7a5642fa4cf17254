package org.hornbeamhead.core.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamhead.core.config.Pool;
import org.hornbeamhead.core.drain.DrainOrder;
import org.hornbeamhead.core.drain.DrainOrders;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PoolPlanTest {
    private static final Pool POOL = new Pool("p", true, "m", "w2", List.of(), List.of());
    private static final DrainOrders NO_DRAINS = new DrainOrders(List.of());

    private static ReplicaObservation replica(String address, String weights, boolean draining, boolean leaving) {
        return new ReplicaObservation(
                new Endpoint(EndpointKind.ENGINE, "p", address, "", "dc", leaving),
                Optional.of(new LoadReport("i", "v1", "m", weights, 0, 0, draining)));
    }

    @DataProvider
    public Object[][] slots() {
        return new Object[][] {{0, 0, 0}, {1, 0, 1}, {2, 0, 2}, {2, 1, 1}, {2, 2, 0}, {1, 2, 0}};
    }

    // Eight replicas need new weights, and no more of them may load at once than the fleet has load slots.
    @Test(dataProvider = "slots")
    public void loadsAreLimitedByLoadSlots(int slots, int loadingCount, int expected) {
        List<ReplicaObservation> observations = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            observations.add(replica("e" + i, "w1", false, false));
        }
        List<String> loading = List.of("e0", "e1").subList(0, loadingCount);
        List<ReplicaOrder> orders = PoolPlan.decide(POOL, Optional.of(NO_DRAINS), observations, slots, loading);
        assertEquals(orders.size(), expected);
        assertTrue(orders.stream().noneMatch(o -> loading.contains(o.address())));
    }

    @DataProvider
    public Object[][] drains() {
        return new Object[][] {
            {replica("a", "w2", false, false), false, Optional.empty()},
            {replica("a", "w2", false, true), false, Optional.of(true)},
            {replica("a", "w2", false, false), true, Optional.of(true)},
            {replica("a", "w2", true, false), true, Optional.empty()},
            {replica("a", "w2", true, false), false, Optional.of(false)},
        };
    }

    // An engine that ignores fencing numbers may have obeyed an old order. The wrong drain state must be corrected at
    // the
    // next observation.
    @Test(dataProvider = "drains")
    public void wrongDrainStateIsCorrected(
            ReplicaObservation observation, boolean drained, Optional<Boolean> expected) {
        DrainOrders drains = drained ? NO_DRAINS.with(new DrainOrder("a", "x", 0, "r", "")) : NO_DRAINS;
        List<ReplicaOrder> orders = PoolPlan.decide(POOL, Optional.of(drains), List.of(observation), 2, List.of());
        assertEquals(orders.stream().map(ReplicaOrder::draining).findFirst(), expected);
    }

    @DataProvider
    public Object[][] withoutDrains() {
        return new Object[][] {
            {replica("a", "w2", true, false), List.of()},
            {replica("a", "w2", false, false), List.of()},
            {replica("a", "w1", true, false), List.of()},
            {replica("a", "w1", false, false), List.of()},
            {replica("a", "w2", false, true), List.of(true)},
            {replica("a", "w1", false, true), List.of(true)},
        };
    }

    // While the drain orders are not known, no order may tell a replica to accept work, not even to change its weights.
    @Test(dataProvider = "withoutDrains")
    public void unknownDrainOrdersEndNoDrain(ReplicaObservation observation, List<Boolean> expected) {
        List<ReplicaOrder> orders = PoolPlan.decide(POOL, Optional.empty(), List.of(observation), 2, List.of());
        assertEquals(orders.stream().map(ReplicaOrder::draining).toList(), expected);
    }

    @Test
    public void unresponsiveReplicaGetsNoOrder() {
        ReplicaObservation unresponsive =
                new ReplicaObservation(new Endpoint(EndpointKind.ENGINE, "p", "a", "", "dc", false), Optional.empty());
        assertTrue(PoolPlan.decide(POOL, Optional.of(NO_DRAINS), List.of(unresponsive), 2, List.of())
                .isEmpty());
    }
}
