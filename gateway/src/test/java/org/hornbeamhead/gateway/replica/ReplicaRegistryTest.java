package org.hornbeamhead.gateway.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import io.activej.eventloop.Eventloop;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ReplicaRegistryTest {
    private static final ReplicaEntry FIRST = entry(1_000, 5);
    private static final ReplicaEntry SECOND = entry(2_000, 4);

    private final ManualClock clock = new ManualClock(10_000);
    private ReplicaRegistry registry;

    private static ReplicaEntry entry(long startedAt, long weights) {
        return new ReplicaEntry("r", startedAt, "lm", "10.0.0.1:80", "z", false, 8, Map.of("m", weights));
    }

    @BeforeMethod
    public void begin() {
        registry = new ReplicaRegistry(Eventloop.builder().withCurrentThread().build(), clock);
    }

    private LiveReplica only() {
        List<LiveReplica> all = registry.of("lm");
        assertEquals(all.size(), 1);
        return all.get(0);
    }

    @DataProvider
    public Object[][] orders() {
        return new Object[][] {
            {"in order", List.of(FIRST, SECOND)},
            {"the first one again, late", List.of(FIRST, SECOND, FIRST)},
            {"the second one twice", List.of(FIRST, SECOND, SECOND)},
            {"the second one first", List.of(SECOND, FIRST)},
            {"by turns", List.of(FIRST, SECOND, FIRST, SECOND, FIRST)},
        };
    }

    /**
     * A replica crashes and starts again under the id that it had, with empty memory and the weights of its image.
     * Callers would see prompts sent where their beginnings were lost, requests turned away for weights that the
     * replica no longer has, and the new run left out for the failures of the old one. In whatever order the news of
     * the two runs comes, the later run is listed, and nothing that was believed of the earlier one holds for it.
     */
    @Test(dataProvider = "orders")
    public void theLaterRunIsListedAndBeginsWithNothing(String name, List<ReplicaEntry> news) {
        news.stream().limit(1).forEach(e -> registry.put(e, 1));
        LiveReplica before = only();
        before.sawWeights(9);
        before.load().recordSent("q", 100, 1_000, true, clock.monotonicMillis());
        before.guard().recordConnectFailure(clock.monotonicMillis());
        news.stream().skip(1).forEach(e -> registry.put(e, 2));
        LiveReplica now = only();
        assertEquals(now.entry().startedAt(), SECOND.startedAt(), name);
        if (news.get(0).equals(FIRST)) {
            assertNotSame(now, before);
            assertEquals(now.weights("m"), 4);
            assertEquals(now.load().runningRequests(clock.monotonicMillis()), 0);
            assertFalse(now.guard().isEjected(clock.monotonicMillis()));
        } else {
            assertSame(now, before);
        }
    }

    /** Another router tells of work that it gave to the earlier run. It must not count as work of the later one. */
    @Test
    public void whatOthersTellOfTheEarlierRunIsNotFound() {
        registry.put(FIRST, 1);
        LiveReplica before = only();
        registry.put(SECOND, 2);
        assertTrue(registry.byHash(before.hash()).isEmpty());
        assertTrue(registry.get(FIRST.run()).isEmpty());
        assertNotEquals(before.hash(), only().hash());
        assertSame(registry.get(SECOND.run()).orElseThrow(), only());
    }

    /** Heartbeats repeat an entry; what is known of the run stays. */
    @Test
    public void theSameRunKeepsWhatIsKnown() {
        registry.put(FIRST, 1);
        LiveReplica before = only();
        before.sawWeights(9);
        registry.put(entry(1_000, 6), 2);
        assertSame(only(), before);
        assertEquals(only().weights("m"), 9);
    }

    /**
     * Something else overwrites a replica's entry with what nobody can read. It names no replica to use, so the replica
     * gets nothing until its next heartbeat, and the others go on.
     */
    @Test
    public void anEntryThatCannotBeReadHoldsBackItsReplicaAlone() {
        registry.put(FIRST, 1);
        registry.put(new ReplicaEntry("s", 1, "lm", "10.0.0.2:80", "z", false, 8, Map.of("m", 5L)), 2);
        registry.withhold("r", 3);
        registry.withhold("nobody", 4);
        assertEquals(Stream.of(only()).map(r -> r.entry().id()).toList(), List.of("s"));
        registry.put(FIRST, 5);
        assertEquals(registry.of("lm").size(), 2);
    }
}
