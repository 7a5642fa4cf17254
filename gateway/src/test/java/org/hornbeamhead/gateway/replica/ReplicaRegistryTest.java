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
import org.hornbeamhead.core.limit.StatedLimit;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ReplicaRegistryTest {
    private static final ReplicaEntry FIRST_RUN = entry(1_000, 5);
    private static final ReplicaEntry SECOND_RUN = entry(2_000, 4);

    private final ManualClock clock = new ManualClock(10_000);
    private ReplicaRegistry registry;

    private static ReplicaEntry entry(long startedAt, long weights) {
        return new ReplicaEntry("r", startedAt, "lm", "10.0.0.1:80", "z", "v1", false, 8, Map.of("m", weights));
    }

    @BeforeMethod
    public void setUp() {
        registry = new ReplicaRegistry(Eventloop.builder().withCurrentThread().build(), clock);
    }

    private List<LiveReplica> inService() {
        return registry.replicas("lm").stream().filter(LiveReplica::isInService).toList();
    }

    private LiveReplica onlyReplica() {
        List<LiveReplica> all = inService();
        assertEquals(all.size(), 1);
        return all.get(0);
    }

    @DataProvider
    public Object[][] orders() {
        return new Object[][] {
            {"in order", List.of(FIRST_RUN, SECOND_RUN)},
            {"first run repeated late", List.of(FIRST_RUN, SECOND_RUN, FIRST_RUN)},
            {"second run twice", List.of(FIRST_RUN, SECOND_RUN, SECOND_RUN)},
            {"second run first", List.of(SECOND_RUN, FIRST_RUN)},
            {"in alternation", List.of(FIRST_RUN, SECOND_RUN, FIRST_RUN, SECOND_RUN, FIRST_RUN)},
        };
    }

    /**
     * A replica crashes and restarts under the same id, with empty memory and the weights of its image. If the state of
     * the earlier run were kept, prompts would be sent where their prefixes are no longer cached, requests would be
     * rejected for weights that the replica no longer has, and the new run would stay ejected for the failures of the
     * old one. In whatever order the entries of the two runs arrive, the later run is listed, without any state of the
     * earlier one.
     */
    @Test(dataProvider = "orders")
    public void laterRunReplacesEarlierRunWithoutItsState(String description, List<ReplicaEntry> entries) {
        entries.stream().limit(1).forEach(e -> registry.put(e, 1));
        LiveReplica before = onlyReplica();
        before.observeVersion("m", 9);
        before.load().recordSent("q", 100, 1_000, true, clock.monotonicMillis());
        before.guard().recordConnectFailure(clock.monotonicMillis());
        entries.stream().skip(1).forEach(e -> registry.put(e, 2));
        LiveReplica after = onlyReplica();
        assertEquals(after.entry().startedAt(), SECOND_RUN.startedAt(), description);
        if (entries.get(0).equals(FIRST_RUN)) {
            assertNotSame(after, before);
            assertEquals(after.weightsVersion("m"), 4);
            assertEquals(after.load().runningRequests(clock.monotonicMillis()), 0);
            assertFalse(after.guard().isEjected(clock.monotonicMillis()));
        } else {
            assertSame(after, before);
        }
    }

    /**
     * Another router sends a hint about work that it sent to the earlier run. It must not count as work of the later
     * run.
     */
    @Test
    public void earlierRunIsNoLongerFound() {
        registry.put(FIRST_RUN, 1);
        LiveReplica before = onlyReplica();
        registry.put(SECOND_RUN, 2);
        assertTrue(registry.byRunHash(before.runHash()).isEmpty());
        assertTrue(registry.byRun(FIRST_RUN.run()).isEmpty());
        assertNotEquals(before.runHash(), onlyReplica().runHash());
        assertSame(registry.byRun(SECOND_RUN.run()).orElseThrow(), onlyReplica());
    }

    /** Heartbeats repeat an entry. The state of the run must be kept. */
    @Test
    public void repeatedEntryOfSameRunKeepsState() {
        registry.put(FIRST_RUN, 1);
        LiveReplica before = onlyReplica();
        before.observeVersion("m", 9);
        registry.put(entry(1_000, 6), 2);
        assertSame(onlyReplica(), before);
        assertEquals(onlyReplica().weightsVersion("m"), 9);
    }

    /**
     * A replica's entry is overwritten with a value that cannot be parsed. The replica gets no requests until its next
     * heartbeat, and the other replicas are not affected.
     */
    @Test
    public void unreadableEntryExcludesOnlyItsReplica() {
        registry.put(FIRST_RUN, 1);
        registry.put(new ReplicaEntry("s", 1, "lm", "10.0.0.2:80", "z", "v1", false, 8, Map.of("m", 5L)), 2);
        registry.markEntryInvalid("r", 3);
        registry.markEntryInvalid("nobody", 4);
        assertEquals(Stream.of(onlyReplica()).map(r -> r.entry().id()).toList(), List.of("s"));
        registry.put(FIRST_RUN, 5);
        assertEquals(inService().size(), 2);
    }

    private enum EntryEvent {
        RENEWED,
        CHANGED,
        UNREADABLE,
        LAPSED,
        REPLACED
    }

    private void apply(EntryEvent event) {
        switch (event) {
            case RENEWED -> registry.put(FIRST_RUN, 2);
            case CHANGED -> registry.put(entry(1_000, 6), 2);
            case UNREADABLE -> registry.markEntryInvalid("r", 2);
            case LAPSED -> registry.remove("r", 2);
            default -> registry.put(SECOND_RUN, 2);
        }
    }

    @DataProvider
    public Object[][] entryEvents() {
        return new Object[][] {
            {List.of(EntryEvent.RENEWED)},
            {List.of(EntryEvent.CHANGED)},
            {List.of(EntryEvent.UNREADABLE, EntryEvent.RENEWED)},
            {List.of(EntryEvent.LAPSED, EntryEvent.RENEWED)},
            {List.of(EntryEvent.LAPSED, EntryEvent.LAPSED, EntryEvent.RENEWED, EntryEvent.LAPSED, EntryEvent.CHANGED)}
        };
    }

    /** Guards against forgetting that a replica leaves when its entry is renewed, or lapses and comes back. */
    @Test(dataProvider = "entryEvents")
    public void leavingLastsAsLongAsTheRun(List<EntryEvent> events) {
        registry.put(FIRST_RUN, 1);
        onlyReplica().notices().recordLeaving();
        events.forEach(this::apply);
        assertTrue(inService().isEmpty());
        apply(EntryEvent.REPLACED);
        assertEquals(onlyReplica().entry(), SECOND_RUN);
    }

    /** Guards against unbounded memory after many replacements. */
    @Test
    public void statementsOfTheOldestRemovedRunsAreDropped() {
        for (int run = 1; run <= 5_000; run++) {
            registry.put(entry(run, 5), run);
            onlyReplica().notices().recordLeaving();
        }
        registry.remove("r", 5_001);
        registry.put(entry(1, 5), 5_002);
        assertEquals(inService().size(), 1);
        registry.remove("r", 5_003);
        registry.put(entry(5_000, 5), 5_004);
        assertTrue(inService().isEmpty());
    }

    /** Guards against requests beyond a replica's limit because its entry lapsed and came back. */
    @Test
    public void requestLimitOutlivesTheEntry() {
        registry.put(FIRST_RUN, 1);
        onlyReplica().limiter().observe(new StatedLimit(2, 10_000, 10_010));
        apply(EntryEvent.LAPSED);
        apply(EntryEvent.RENEWED);
        assertTrue(onlyReplica().limiter().isLimited());
        apply(EntryEvent.REPLACED);
        assertFalse(onlyReplica().limiter().isLimited());
    }
}
