package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.hornbeamhead.gateway.state.SimulatedFleet.Member;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests how changes of the store propagate to all routers, and how many reads that takes, while a few routers read it
 * for all.
 */
public class StoreViewTest {
    private static final long SETTLE_MILLIS = 5_000;
    /** A request waits for half a second, and a fault may occur at any moment of the wait. */
    private static final long WAIT_MILLIS = 500;
    /** Without faults, all routers must know a version within this time. */
    private static final long MAX_PROPAGATION_MILLIS = 200;
    /** Maximum delay for the routers that wait at a single failed reader. */
    private static final long ONE_TIMEOUT_MILLIS = 900;
    /**
     * Maximum delay for a router both of whose readers failed. In a small fleet a configuration must be in force within
     * two seconds, of which a quarter is reserved for a busy host.
     */
    private static final long TWO_TIMEOUTS_MILLIS = 1_500;
    /** Time within which a configuration must be in force in a large fleet, even if the store refuses some hosts. */
    private static final long LARGE_FLEET_MILLIS = 4_000;

    @DataProvider
    public Object[][] fleetSizes() {
        return new Object[][] {{2}, {8}, {68}, {95}, {300}};
    }

    /**
     * Each call to the store is billed, and callers are served on old weights until the last router has received the
     * new version. Neither the number of reads nor the delay may grow with the fleet, although replicas renew their
     * entries continuously.
     */
    @Test(dataProvider = "fleetSizes")
    public void versionsPropagateWithReadsIndependentOfFleetSize(int routers) {
        SimulatedFleet fleet = new SimulatedFleet(routers);
        fleet.timers.advance(SETTLE_MILLIS);
        int before = fleet.store.reads;
        for (int version = 1; version <= 10; version++) {
            long at = fleet.publish(version);
            long knownMillis = fleet.millisUntilKnown(version, fleet.members);
            assertTrue(knownMillis <= MAX_PROPAGATION_MILLIS, "known to all routers after " + knownMillis);
            assertBounds(fleet.members, version, at);
            fleet.timers.advance(1_000 - knownMillis);
        }
        int reads = (fleet.store.reads - before) / 10;
        assertTrue(reads <= 4 * 1_000 / 120 + 2 || routers < 8, "reads a second: " + reads);
    }

    /** Asserts that superseded weights are not allowed for longer than the bound. */
    private static void assertBounds(List<Member> routers, long version, long publishedAt) {
        for (Member m : routers) {
            long usableMillis = m.weights.usableMillis(SimulatedFleet.MODEL, version - 1, publishedAt);
            assertTrue(
                    version == 1 || usableMillis <= SimulatedFleet.BOUND_MILLIS,
                    m.entry.node() + " allows superseded weights for " + usableMillis);
        }
    }

    private static Consumer<SimulatedFleet> fault(Consumer<SimulatedFleet> fault) {
        return fault;
    }

    /** Each fault, and the maximum time until all routers that can receive a version know it. */
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"a reader is killed", fault(f -> f.readers().get(0).kill()), ONE_TIMEOUT_MILLIS},
            {"all readers are killed at once", fault(f -> f.readers().forEach(Member::kill)), TWO_TIMEOUTS_MILLIS},
            {"a reader is frozen", fault(f -> f.readers().get(0).frozen = true), ONE_TIMEOUT_MILLIS},
            {"all readers are frozen", fault(f -> f.readers().forEach(r -> r.frozen = true)), TWO_TIMEOUTS_MILLIS},
            {"the store refuses one reader", fault(f -> f.readers().get(0).reachesStore = false), LARGE_FLEET_MILLIS},
            {
                "the store refuses all readers",
                fault(f -> f.readers().forEach(r -> r.reachesStore = false)),
                LARGE_FLEET_MILLIS
            },
            {
                "the store refuses every second router",
                fault(f -> f.members.forEach(m -> m.reachesStore = f.members.indexOf(m) % 2 == 0)),
                LARGE_FLEET_MILLIS
            },
            {
                "the fleet is partitioned",
                fault(f -> f.connected = (a, b) -> f.members.indexOf(a) % 2 == f.members.indexOf(b) % 2),
                LARGE_FLEET_MILLIS
            },
            {"routers cannot connect to one another", fault(f -> f.connected = (a, b) -> a == b), LARGE_FLEET_MILLIS},
            {
                "all routers are killed and restarted",
                fault(f -> f.members.forEach(m -> {
                    m.kill();
                    m.start();
                })),
                ONE_TIMEOUT_MILLIS
            },
        };
    }

    /**
     * Readers fail, freeze or are disconnected just before weights are published. The routers that wait for them must
     * use other sources; otherwise they would return requests to callers or serve them on superseded weights. Later
     * versions must propagate as fast as before, and no router may count a version from later than its publication.
     */
    @Test(dataProvider = "faults")
    public void faultsDelayPropagationOnlyBriefly(String name, Consumer<SimulatedFleet> fault, long millis) {
        for (long phase = 0; phase < WAIT_MILLIS; phase += WAIT_MILLIS / 4) {
            verifyPropagation(name, fault, phase, millis);
        }
    }

    private static void verifyPropagation(String name, Consumer<SimulatedFleet> fault, long phase, long millis) {
        SimulatedFleet fleet = new SimulatedFleet(40);
        fleet.publish(1);
        fleet.timers.advance(SETTLE_MILLIS + phase);
        fault.accept(fleet);
        List<Member> reachable =
                fleet.members.stream().filter(m -> m.alive && !m.frozen).toList();
        long at = fleet.publish(2);
        long knownMillis = fleet.millisUntilKnown(2, reachable);
        assertTrue(knownMillis <= millis, name + ": known to all routers after " + knownMillis);
        assertBounds(reachable, 2, at);
        fleet.timers.advance(SETTLE_MILLIS);
        at = fleet.publish(3);
        long laterMillis = fleet.millisUntilKnown(3, reachable);
        assertTrue(laterMillis <= 1_300, name + ": a later version was known after " + laterMillis);
        assertBounds(reachable, 3, at);
    }

    /**
     * A reader is frozen while weights are published, and answers an older request when it resumes. Its followers have
     * received the version from other sources. The late answer must neither revert their state nor make a version look
     * newer than it is.
     */
    @Test
    public void lateAnswerFromFrozenReaderChangesNothing() {
        SimulatedFleet fleet = new SimulatedFleet(40);
        fleet.publish(1);
        fleet.timers.advance(SETTLE_MILLIS);
        Member reader = fleet.readers().get(0);
        reader.frozen = true;
        long at = fleet.publish(2);
        fleet.timers.advance(3_000);
        reader.resume();
        fleet.timers.advance(SETTLE_MILLIS);
        assertBounds(fleet.members, 2, at);
        fleet.members.forEach(m -> assertEquals(
                m.publishedRevisions, m.publishedRevisions.stream().sorted().toList()));
        fleet.members.forEach(m -> assertEquals(m.weights.latestVersion(SimulatedFleet.MODEL), 2));
    }

    /**
     * The store is unavailable for long enough that entries expire, and returns without a replica that will be listed
     * again a second later. No router may treat the replica as removed, whatever the source of the removal, since a
     * healthy replica would get no requests.
     */
    @Test
    public void removalsAfterOutageAreDelayedOnEveryPath() {
        SimulatedFleet fleet = new SimulatedFleet(40);
        fleet.timers.advance(SETTLE_MILLIS);
        fleet.members.forEach(m -> m.reachesStore = false);
        fleet.renewalsEnabled = false;
        fleet.timers.advance(4_000);
        fleet.store.remove("replica/r1");
        fleet.members.forEach(m -> m.reachesStore = true);
        fleet.timers.advance(600);
        fleet.members.stream()
                .filter(m -> m.mirror.get("replica/r1").isEmpty())
                .forEach(m -> assertTrue(m.view.relistMillis() > 0, m.entry.node() + " accepted the removal"));
    }

    /** In a store where nothing changes, readers and their followers must still know that their view is the latest. */
    @Test
    public void idleStoreKeepsAllRoutersFresh() {
        SimulatedFleet fleet = new SimulatedFleet(40);
        fleet.timers.advance(SETTLE_MILLIS);
        fleet.renewalsEnabled = false;
        for (int second = 0; second < 20; second++) {
            fleet.timers.advance(1_000);
            long now = fleet.clock.monotonicMillis();
            fleet.members.forEach(m -> assertTrue(
                    m.state.isFresh(now),
                    m.entry.node() + " has a confirmation of age " + (now - m.state.confirmedAt())));
        }
    }
}
