package org.hornbeamhead.gateway.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The duty of bringing replicas to the named weights, with a clock, a store and replicas of the test's own. */
public class WeightsDutyTest {
    private static final long PAUSE = DutyWorld.PAUSE;
    private static final long LOAD_MILLIS = 320;

    private DutyWorld world;
    private FakeReplicas replicas;

    @BeforeMethod
    public void begin() {
        world = new DutyWorld(8, 6_000, () -> LOAD_MILLIS);
        replicas = world.replicas;
    }

    /** A router with enough time to find out that nobody has the duty. */
    private DutyWorld.Router startRouter() {
        DutyWorld.Router router = world.router("a", 0);
        world.timers.advance(PAUSE + 1_000);
        return router;
    }

    @Test
    public void bringsAllReplicasToTheNamedWeights() {
        startRouter();
        long named = world.clock.monotonicMillis();
        world.name(2);
        world.timers.advance(4_000);
        assertEquals(replicas.changed().size(), 8);
        assertEquals(replicas.given.size(), 8, "one order each");
        assertTrue(replicas.given.get(0).at() - named < 400, "the duty was free: the first order goes out at once");
        assertTrue(replicas.given.get(7).at() - named < 3_000);
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
        replicas.reportedStart = reported;
        replicas.listedStart = listed;
        startRouter();
        world.name(2);
        world.timers.advance(6_000);
        assertEquals(replicas.given.size(), expected);
    }

    /** Two routers both see the new name. One of them gives all the orders. */
    @Test
    public void oneRouterGivesTheOrders() {
        world.router("a", 0);
        world.router("b", 1);
        world.timers.advance(PAUSE + 2_000);
        world.name(2);
        world.timers.advance(4_000);
        assertEquals(
                replicas.given.stream().map(g -> g.order().holder()).distinct().count(), 1);
    }

    /**
     * The holder is killed between its first orders and the others, and its key vanishes with its lease. The next
     * holder cannot know when the last order was given: it waits out the pause, and its fencing number is higher.
     */
    @Test
    public void theNextHolderWaitsWhenTheLastOneVanished() {
        DutyWorld.Router first = startRouter();
        world.name(2);
        world.timers.advance(150);
        assertEquals(
                replicas.given.stream().map(g -> g.order().holder()).distinct().toList(), List.of("a"));
        long firstFence = replicas.given.get(0).order().fence();
        long killedAt = world.clock.monotonicMillis();
        first.kill();
        replicas.given.clear();
        world.store.lapse(DutyLease.KEY);
        world.router("b", 0);
        world.timers.advance(6_000);
        assertTrue(
                replicas.given.get(0).at() - killedAt >= PAUSE,
                "after " + (replicas.given.get(0).at() - killedAt));
        assertTrue(replicas.given.get(0).order().fence() > firstFence);
    }

    /** The lease was lost while the holder stood still: it gives no further order on the strength of it. */
    @Test
    public void aHolderThatStoodStillGivesNoMoreOrders() {
        startRouter();
        world.name(2);
        world.timers.advance(150);
        int before = replicas.given.size();
        world.clock.skewWall(5_000);
        world.timers.advance(60);
        assertEquals(replicas.given.size(), before);
    }

    /**
     * A replica is dark when it is ordered, and the next version is named before it is back. Callers would wait for two
     * loads of it, the first of them of weights that are already replaced: the order that is given again names the
     * newest version.
     */
    @Test
    public void anOrderThatIsGivenAgainNamesTheNewestVersion() {
        startRouter();
        world.name(2);
        world.timers.advance(100);
        replicas.dark.add("r7");
        world.timers.advance(1_000);
        world.name(3);
        world.timers.advance(1_000);
        replicas.dark.remove("r7");
        replicas.given.clear();
        world.timers.advance(6_000);
        assertEquals(replicas.version("r7"), 3);
        assertEquals(
                replicas.given.stream()
                        .filter(g -> g.replica().equals("r7"))
                        .map(g -> g.order().version())
                        .distinct()
                        .toList(),
                List.of(3L));
    }

    /**
     * An order gets no answer and has no effect. It is given again with the same expected number, so that the replica
     * refuses the first one should it still come.
     */
    @Test
    public void aLostOrderIsRepeatedWithTheSameNumber() {
        replicas.ordersAreLost = true;
        startRouter();
        world.name(2);
        world.timers.advance(2_000);
        List<Long> numbers = replicas.given.stream()
                .filter(g -> g.replica().equals("r0"))
                .map(g -> g.order().ordersBefore())
                .toList();
        assertTrue(numbers.size() > 1);
        assertEquals(numbers.stream().distinct().toList(), List.of(0L));
        replicas.ordersAreLost = false;
        world.timers.advance(4_000);
        assertEquals(replicas.changed().size(), 8);
    }

    /**
     * Callers are given back for seconds around the bound of old weights. Two replicas have lost their power and are
     * still listed; they are idle, so the change begins with them, and their reports never come. The others do not wait
     * for them.
     */
    @Test
    public void replicasThatDoNotReportHoldNobodyUp() {
        replicas.dark.addAll(Set.of("r0", "r1", "r2", "r3"));
        startRouter();
        long named = world.clock.monotonicMillis();
        world.name(2);
        world.timers.advance(4_000);
        assertEquals(replicas.changed().keySet(), Set.of("r4", "r5", "r6", "r7"));
        assertTrue(
                replicas.given.get(3).at() - named < 1_500,
                "after " + (replicas.given.get(3).at() - named));
        replicas.dark.clear();
        world.timers.advance(3_000);
        assertEquals(replicas.changed().size(), 8);
    }

    /**
     * Replicas do not answer, and each question takes longer than the pause between two. No second one is asked beside
     * the first: its answer could come before, and the older one would be taken for the state of the replica.
     */
    @Test
    public void aReplicaIsAskedOneQuestionAtATime() {
        world.router("a", 0);
        world.timers.advance(PAUSE + 1_000);
        world.replicas.reportsHang = true;
        world.name(2);
        world.timers.advance(2_000);
        assertEquals(world.replicas.given.size(), 0);
        assertTrue(world.replicas.reportsAsked <= 8, "asked " + world.replicas.reportsAsked + " times");
    }

    /** A newer version is named while the change is under way: replicas go straight to it. */
    @Test
    public void goesStraightToTheNewest() {
        startRouter();
        world.name(2);
        world.timers.advance(200);
        world.name(3);
        world.timers.advance(6_000);
        assertTrue(
                replicas.changed().values().stream().allMatch(v -> v == 3),
                replicas.changed().toString());
        assertTrue(replicas.given.size() <= 12, "orders: " + replicas.given.size());
    }
}
