package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.hornbeamhead.gateway.state.SimulatedFleet.Member;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How routers learn of what changes in the store, and what that costs, while a few of them read it for all. */
public class StoreViewTest {
    private static final long SETTLE_MILLIS = 5_000;
    /** A fault may come at any moment of the half a second that a question waits. */
    private static final long WAIT_MILLIS = 500;
    /** In a sound fleet a name must be known to all routers within this time. */
    private static final long MAX_PROPAGATION_MILLIS = 200;
    /** What the loss of one reader may cost those that wait at it. */
    private static final long ONE_TIMEOUT_MILLIS = 900;
    /**
     * What the loss of both readers of a router may cost it. A small fleet must have a configuration in force within
     * two seconds, of which a quarter is left for a busy host.
     */
    private static final long TWO_TIMEOUTS_MILLIS = 1_500;
    /**
     * The time within which a configuration must be in force in a large fleet, also where the store turns hosts away.
     */
    private static final long LARGE_FLEET_MILLIS = 4_000;

    @DataProvider
    public Object[][] fleetSizes() {
        return new Object[][] {{2}, {8}, {68}, {95}, {300}};
    }

    /**
     * Operators pay for each call to the store, and callers are served on old weights until the last router has heard
     * of new ones. Both must not grow with the fleet, though replicas renew their entries all the time.
     */
    @Test(dataProvider = "fleetSizes")
    public void versionsPropagateWithReadsIndependentOfFleetSize(int routers) {
        SimulatedFleet fleet = new SimulatedFleet(routers);
        fleet.timers.advance(SETTLE_MILLIS);
        int before = fleet.store.reads;
        for (int version = 1; version <= 10; version++) {
            long at = fleet.publish(version);
            long known = fleet.millisUntilKnown(version, fleet.members);
            assertTrue(known <= MAX_PROPAGATION_MILLIS, "known to all after " + known);
            assertBounds(fleet.members, version, at);
            fleet.timers.advance(1_000 - known);
        }
        int reads = (fleet.store.reads - before) / 10;
        assertTrue(reads <= 4 * 1_000 / 120 + 2 || routers < 8, "reads a second: " + reads);
    }

    /** What is used must never be allowed for longer than the bound, and not be given up much sooner. */
    private static void assertBounds(List<Member> who, long version, long namedAt) {
        for (Member m : who) {
            long end = m.weights.usableMillis(SimulatedFleet.MODEL, version - 1, namedAt);
            assertTrue(version == 1 || end <= SimulatedFleet.BOUND_MILLIS, m.entry.node() + " allows " + end);
        }
    }

    private static Consumer<SimulatedFleet> fault(Consumer<SimulatedFleet> fault) {
        return fault;
    }

    /** Each fault, and the time in which all routers that can hear of a name must have heard of it. */
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"a reader is killed", fault(f -> f.readers().get(0).kill()), ONE_TIMEOUT_MILLIS},
            {"all readers are killed at once", fault(f -> f.readers().forEach(Member::kill)), TWO_TIMEOUTS_MILLIS},
            {"a reader stands still", fault(f -> f.readers().get(0).frozen = true), ONE_TIMEOUT_MILLIS},
            {"all readers stand still", fault(f -> f.readers().forEach(r -> r.frozen = true)), TWO_TIMEOUTS_MILLIS},
            {"the store turns one reader away", fault(f -> f.readers().get(0).reachesStore = false), LARGE_FLEET_MILLIS},
            {
                "the store turns all readers away",
                fault(f -> f.readers().forEach(r -> r.reachesStore = false)),
                LARGE_FLEET_MILLIS
            },
            {
                "the store turns every other router away",
                fault(f -> f.members.forEach(m -> m.reachesStore = f.members.indexOf(m) % 2 == 0)),
                LARGE_FLEET_MILLIS
            },
            {
                "the fleet is cut in two",
                fault(f -> f.connected = (a, b) -> f.members.indexOf(a) % 2 == f.members.indexOf(b) % 2),
                LARGE_FLEET_MILLIS
            },
            {"routers cannot reach one another", fault(f -> f.connected = (a, b) -> a == b), LARGE_FLEET_MILLIS},
            {
                "all are killed and start again",
                fault(f -> f.members.forEach(m -> {
                    m.kill();
                    m.start();
                })),
                ONE_TIMEOUT_MILLIS
            },
        };
    }

    /**
     * Readers are lost, stand still or are cut off just before weights are named. The routers that wait at them must
     * turn elsewhere: callers are given back, or served on replaced weights, by those that have not heard. Later names
     * are heard as soon as before, and no router counts a name from later than it was given.
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
        List<Member> hearing =
                fleet.members.stream().filter(m -> m.alive && !m.frozen).toList();
        long at = fleet.publish(2);
        long known = fleet.millisUntilKnown(2, hearing);
        assertTrue(known <= millis, name + ": known to all after " + known);
        assertBounds(hearing, 2, at);
        fleet.timers.advance(SETTLE_MILLIS);
        at = fleet.publish(3);
        long later = fleet.millisUntilKnown(3, hearing);
        assertTrue(later <= 1_300, name + ": a later name was known after " + later);
        assertBounds(hearing, 3, at);
    }

    /**
     * A reader stands still while weights are named, and answers what it was asked before when it runs again. Its
     * followers have heard of the name elsewhere; the old answer must neither take them back nor make a name look new.
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
        fleet.members.forEach(
                m -> assertEquals(m.publishedRevisions, m.publishedRevisions.stream().sorted().toList()));
        fleet.members.forEach(m -> assertEquals(m.weights.latestVersion(SimulatedFleet.MODEL), 2));
    }

    /**
     * The store is away for long enough that entries lapse, and comes back without a replica that will be listed again
     * a second later. No router may believe that it is gone, whoever tells it of the removal: its requests would be
     * taken from a sound replica.
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
                .forEach(m -> assertTrue(m.view.relistMillis() > 0, m.entry.node() + " believes it"));
    }

    /** In a store where nothing changes, readers and their followers still know that they miss nothing. */
    @Test
    public void idleStoreKeepsAllRoutersFresh() {
        SimulatedFleet fleet = new SimulatedFleet(40);
        fleet.timers.advance(SETTLE_MILLIS);
        fleet.renewalsEnabled = false;
        for (int second = 0; second < 20; second++) {
            fleet.timers.advance(1_000);
            long now = fleet.clock.monotonicMillis();
            fleet.members.forEach(m -> assertTrue(
                    m.state.isFresh(now), m.entry.node() + " was confirmed " + (now - m.state.confirmedAt())));
        }
    }
}
