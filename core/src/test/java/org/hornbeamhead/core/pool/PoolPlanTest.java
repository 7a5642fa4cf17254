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
                Optional.of(new LoadReport("i", "m", weights, 0, 0, draining)));
    }

    @DataProvider
    public Object[][] slots() {
        return new Object[][] {{0, 0, 0}, {1, 0, 1}, {2, 0, 2}, {2, 1, 1}, {2, 2, 0}, {1, 2, 0}};
    }

    // Eight replicas need new weights. Never do more load at once than the fleet's permissions allow.
    @Test(dataProvider = "slots")
    public void onlyAsManyLoadAsThereArePermissions(int slots, int loading, int expected) {
        List<ReplicaObservation> seen = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            seen.add(replica("e" + i, "w1", false, false));
        }
        List<String> running = List.of("e0", "e1").subList(0, loading);
        List<ReplicaOrder> orders = PoolPlan.decide(POOL, Optional.of(NO_DRAINS), seen, slots, running);
        assertEquals(orders.size(), expected);
        assertTrue(orders.stream().noneMatch(o -> running.contains(o.address())));
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

    // An engine that ignores fencing numbers obeyed an old order. The next look shows the wrong state, and it is
    // undone.
    @Test(dataProvider = "drains")
    public void aWrongStateIsCorrected(ReplicaObservation seen, boolean drained, Optional<Boolean> ordered) {
        DrainOrders drains = drained ? NO_DRAINS.with(new DrainOrder("a", "x", 0, "r", "")) : NO_DRAINS;
        List<ReplicaOrder> orders = PoolPlan.decide(POOL, Optional.of(drains), List.of(seen), 2, List.of());
        assertEquals(orders.stream().map(ReplicaOrder::draining).findFirst(), ordered);
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

    // While the drain orders are not known, no order tells a replica to take work, be it for its weights.
    @Test(dataProvider = "withoutDrains")
    public void unknownDrainsEndNone(ReplicaObservation seen, List<Boolean> ordered) {
        List<ReplicaOrder> orders = PoolPlan.decide(POOL, Optional.empty(), List.of(seen), 2, List.of());
        assertEquals(orders.stream().map(ReplicaOrder::draining).toList(), ordered);
    }

    @Test
    public void aSilentReplicaGetsNoOrder() {
        ReplicaObservation silent =
                new ReplicaObservation(new Endpoint(EndpointKind.ENGINE, "p", "a", "", "dc", false), Optional.empty());
        assertTrue(PoolPlan.decide(POOL, Optional.of(NO_DRAINS), List.of(silent), 2, List.of())
                .isEmpty());
    }
}
