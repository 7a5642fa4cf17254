package org.hornbeamhead.gateway.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.hornbeamhead.core.weights.RolloutPlan;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.WeightsView;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The duty of bringing replicas to the named weights, with a clock, a store and replicas of the test's own. */
public class WeightsDutyTest {
    private static final long PAUSE = 3_000;
    private static final long LOAD_MILLIS = 320;

    private record Given(String replica, ReplicaOrders.WeightsOrder order, long at) {}

    private final ManualClock clock = new ManualClock(1_000_000);
    private final List<Given> given = new ArrayList<>();
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<String, Long> accepted = new HashMap<>();
    private ManualTimers timers;
    private StoreMirror mirror;
    private FakePlatformStore store;
    private WeightsView weights;
    private long reportedStart = 1;
    private long listedStart = 1;
    private boolean ordersAreLost;
    private final Set<String> dark = new HashSet<>();

    private final ReplicaOrders orders = new ReplicaOrders() {
        @Override
        public Promise<Reply> give(ReplicaEntry replica, WeightsOrder order) {
            given.add(new Given(replica.id(), order, clock.monotonicMillis()));
            if (ordersAreLost) {
                return Promise.ofException(new IllegalStateException("no answer"));
            }
            if (order.ordersBefore() != accepted.getOrDefault(replica.id(), 0L)) {
                return Promise.of(Reply.CONFLICT);
            }
            accepted.merge(replica.id(), 1L, Long::sum);
            timers.schedule(LOAD_MILLIS, () -> versions.put(replica.id(), order.version()));
            return Promise.of(Reply.ACCEPTED);
        }

        @Override
        public Promise<Report> report(ReplicaEntry replica) {
            if (dark.contains(replica.id())) {
                return Promise.ofException(new IllegalStateException("no answer"));
            }
            long version = versions.getOrDefault(replica.id(), 1L);
            return Promise.of(
                    new Report(reportedStart, Map.of("m", version), false, accepted.getOrDefault(replica.id(), 0L)));
        }
    };

    @BeforeMethod
    public void begin() {
        reportedStart = 1;
        listedStart = 1;
        given.clear();
        versions.clear();
        accepted.clear();
        ordersAreLost = false;
        dark.clear();
        timers = new ManualTimers(clock);
        mirror = new StoreMirror();
        store = new FakePlatformStore(mirror);
        weights = new WeightsView(6_000);
        weights.name("m", 1, clock.monotonicMillis());
    }

    private void router(String name, int rank) {
        ReplicaRegistry registry =
                new ReplicaRegistry(Eventloop.builder().withCurrentThread().build(), clock);
        IntStream.range(0, 8)
                .forEach(i -> registry.put(
                        new ReplicaEntry(
                                "r" + i, listedStart, "s", "10.0.0." + i + ":80", "z", false, 8, Map.of("m", 1L)),
                        1));
        WeightsDuty.Parts parts = new WeightsDuty.Parts(
                timers,
                clock,
                registry,
                weights,
                orders,
                new RolloutPlan(2, 6_000),
                () -> rank,
                s -> 90_000,
                name,
                PAUSE);
        new WeightsDuty(parts, new DutyLease(clock, store, mirror, name), (changing, changed) -> {}).start();
    }

    private void name(long version) {
        weights.name("m", version, clock.monotonicMillis());
    }

    @Test
    public void bringsAllReplicasToTheNamedWeights() {
        router("a", 0);
        timers.advance(PAUSE + 1_000);
        long named = clock.monotonicMillis();
        name(2);
        timers.advance(4_000);
        assertEquals(versions.size(), 8);
        assertEquals(given.size(), 8, "one order each");
        assertTrue(given.get(0).at() - named < 400, "the duty was free: the first order goes out at once");
        assertTrue(given.get(7).at() - named < 3_000);
    }

    @DataProvider
    public Object[][] starts() {
        return new Object[][] {{1L, 1L, 8}, {0L, 1L, 8}, {1L, 0L, 8}, {0L, 0L, 8}, {1L, 2L, 0}};
    }

    /**
     * A replica starts again under its id, and a report of the run before comes late. Its number of accepted orders is
     * not that of the new run, so no order is built on it. Where the registry or the report tells no start, nothing
     * says that they are of two runs, and the change must not wait for ever.
     */
    @Test(dataProvider = "starts")
    public void reportsOfAnotherRunAreNotBuiltOn(long reported, long listed, int expected) {
        reportedStart = reported;
        listedStart = listed;
        router("a", 0);
        timers.advance(PAUSE + 1_000);
        name(2);
        timers.advance(6_000);
        assertEquals(given.size(), expected);
    }

    /** Two routers both see the new name. One of them gives all the orders. */
    @Test
    public void oneRouterGivesTheOrders() {
        router("a", 0);
        router("b", 1);
        timers.advance(PAUSE + 2_000);
        name(2);
        timers.advance(4_000);
        assertEquals(given.stream().map(g -> g.order().holder()).distinct().count(), 1);
    }

    /**
     * The holder is killed between its first orders and the others, and its key vanishes with its lease. The next
     * holder cannot know when the last order was given: it waits out the pause, and its fencing number is higher.
     */
    @Test
    public void theNextHolderWaitsWhenTheLastOneVanished() {
        router("a", 0);
        timers.advance(PAUSE + 1_000);
        name(2);
        timers.advance(150);
        assertEquals(given.stream().map(g -> g.order().holder()).distinct().toList(), List.of("a"));
        long firstFence = given.get(0).order().fence();
        long killedAt = clock.monotonicMillis();
        timers = new ManualTimers(clock);
        given.clear();
        store.lapse(DutyLease.KEY);
        router("b", 0);
        timers.advance(6_000);
        assertTrue(
                given.get(0).at() - killedAt >= PAUSE, "after " + (given.get(0).at() - killedAt));
        assertTrue(given.get(0).order().fence() > firstFence);
    }

    /** The lease was lost while the holder stood still: it gives no further order on the strength of it. */
    @Test
    public void aHolderThatStoodStillGivesNoMoreOrders() {
        router("a", 0);
        timers.advance(PAUSE + 1_000);
        name(2);
        timers.advance(150);
        int before = given.size();
        clock.skewWall(5_000);
        timers.advance(60);
        assertEquals(given.size(), before);
    }

    /**
     * An order gets no answer and has no effect. It is given again with the same expected number, so that the replica
     * refuses the first one should it still come.
     */
    @Test
    public void aLostOrderIsRepeatedWithTheSameNumber() {
        ordersAreLost = true;
        router("a", 0);
        timers.advance(PAUSE + 1_000);
        name(2);
        timers.advance(2_000);
        List<Long> numbers = given.stream()
                .filter(g -> g.replica().equals("r0"))
                .map(g -> g.order().ordersBefore())
                .toList();
        assertTrue(numbers.size() > 1);
        assertEquals(numbers.stream().distinct().toList(), List.of(0L));
        ordersAreLost = false;
        timers.advance(4_000);
        assertEquals(versions.size(), 8);
    }

    /**
     * Callers are given back for seconds around the bound of old weights. Two replicas have lost their power and are
     * still listed; they are idle, so the change begins with them, and their reports never come. The others do not wait
     * for them.
     */
    @Test
    public void replicasThatDoNotReportHoldNobodyUp() {
        dark.addAll(Set.of("r0", "r1", "r2", "r3"));
        router("a", 0);
        timers.advance(PAUSE + 1_000);
        long named = clock.monotonicMillis();
        name(2);
        timers.advance(4_000);
        assertEquals(versions.keySet(), Set.of("r4", "r5", "r6", "r7"));
        assertTrue(given.get(3).at() - named < 1_500, "after " + (given.get(3).at() - named));
        dark.clear();
        timers.advance(3_000);
        assertEquals(versions.size(), 8);
    }

    /** A newer version is named while the change is under way: replicas go straight to it. */
    @Test
    public void goesStraightToTheNewest() {
        router("a", 0);
        timers.advance(PAUSE + 1_000);
        name(2);
        timers.advance(200);
        name(3);
        timers.advance(6_000);
        assertTrue(versions.values().stream().allMatch(v -> v == 3), versions.toString());
        assertTrue(given.size() <= 12, "orders: " + given.size());
    }
}
