package org.hornbeamhead.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;
import org.hornbeamhead.core.store.FakeStore;
import org.hornbeamhead.core.store.FakeStore.Fault;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ClaimBatcherTest {
    private static final long START_MILLIS = 1_800_000_000_000L;
    private static final ClaimStoreConfig CONFIG = new ClaimStoreConfig(2, 1_000, 5, 10, 4);

    private FakeStore store;
    private ManualClock clock;
    private ManualTimers timers;
    private SplittableRandom random;

    @BeforeMethod
    public void setUp() {
        store = new FakeStore();
        clock = new ManualClock(START_MILLIS);
        timers = new ManualTimers(clock);
        random = new SplittableRandom(7);
    }

    private ClaimBatcher batcher() {
        return new ClaimBatcher(store, clock, timers, CONFIG);
    }

    private UUID id() {
        return ClaimIds.next(clock.wallMillis(), random);
    }

    private ClaimResult claim(ClaimBatcher batcher, UUID id, long attempt) {
        AtomicReference<ClaimResult> result = new AtomicReference<>();
        batcher.claim(new Claim(id, attempt)).thenAccept(result::set);
        timers.advance(500);
        return result.get();
    }

    // A caller sends the same request through two routers at once, and both claim its id. One write succeeds; the other
    // router finds the first one's attempt in the stored value. Granting both would run the request twice.
    @Test
    public void onlyOneOfTwoConcurrentClaimsIsGranted() {
        UUID id = id();
        AtomicReference<ClaimResult> first = new AtomicReference<>();
        AtomicReference<ClaimResult> second = new AtomicReference<>();
        batcher().claim(new Claim(id, 1)).thenAccept(first::set);
        batcher().claim(new Claim(id, 2)).thenAccept(second::set);
        timers.advance(500);
        assertEquals(List.of(first.get(), second.get()), List.of(ClaimResult.GRANTED, ClaimResult.TAKEN));
    }

    // A write may be refused, or its request or reply may be lost. A claim that took effect must be granted to its own
    // attempt although the reply was lost; one without effect is written again; one that stays in doubt is not granted.
    @DataProvider
    public Object[][] writeFaults() {
        return new Object[][] {
            {new Fault[] {}, ClaimResult.GRANTED},
            {new Fault[] {Fault.LOST_ANSWER}, ClaimResult.GRANTED},
            {new Fault[] {Fault.LOST_REQUEST}, ClaimResult.GRANTED},
            {new Fault[] {Fault.REFUSED}, ClaimResult.GRANTED},
            {new Fault[] {Fault.LOST_ANSWER, Fault.REFUSED}, ClaimResult.GRANTED},
            {new Fault[] {Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED}, ClaimResult.UNAVAILABLE},
            {
                new Fault[] {Fault.LOST_REQUEST, Fault.LOST_REQUEST, Fault.LOST_REQUEST, Fault.LOST_REQUEST},
                ClaimResult.IN_DOUBT
            },
        };
    }

    @Test(dataProvider = "writeFaults")
    public void writeFaultsGiveExpectedResult(Fault[] faults, ClaimResult expected) {
        store.failNextWrites(faults);
        assertEquals(claim(batcher(), id(), 1), expected);
    }

    // During an outage of the store a claim certainly has no effect, which its result must say, so that the same id can
    // be claimed afterwards.
    @Test
    public void idIsUnavailableDuringOutageAndCanBeClaimedAfterwards() {
        UUID id = id();
        store.setOutage(true);
        assertEquals(claim(batcher(), id, 1), ClaimResult.UNAVAILABLE);
        store.setOutage(false);
        assertEquals(claim(batcher(), id, 2), ClaimResult.GRANTED);
    }

    // A router is paused before it sends a claim and resumes after the retention, with a clock that did not advance.
    // The
    // slot has been reused for a later window by then. The claim must expire; granting it would run the request twice.
    @Test
    public void pausedRouterCannotClaimIdOfReusedSlot() {
        UUID old = id();
        assertEquals(claim(batcher(), old, 1), ClaimResult.GRANTED);
        ManualClock stoppedClock = new ManualClock(START_MILLIS);
        ClaimBatcher paused = new ClaimBatcher(store, stoppedClock, timers, CONFIG);
        clock.advance(CONFIG.windowMillis() * CONFIG.slots());
        // These are enough claims to reuse the slot in each partition.
        for (int i = 0; i < 60; i++) {
            assertEquals(claim(batcher(), id(), i), ClaimResult.GRANTED);
        }
        assertEquals(claim(paused, old, 2), ClaimResult.EXPIRED);
    }

    @Test
    public void oldIdIsExpiredAndFutureIdIsUnavailable() {
        UUID old = id();
        UUID future = ClaimIds.next(START_MILLIS + 3_600_000, random);
        assertEquals(claim(batcher(), future, 1), ClaimResult.UNAVAILABLE);
        clock.advance(CONFIG.retentionMillis() + 1);
        assertEquals(claim(batcher(), old, 1), ClaimResult.EXPIRED);
        assertEquals(store.writes(), 0);
    }

    // Callers send ids repeatedly through four routers while writes are refused or lost, before or after they took
    // effect. No id may be granted twice.
    @Test
    public void noIdIsGrantedTwiceUnderRandomFaults() {
        List<ClaimBatcher> routers = List.of(batcher(), batcher(), batcher(), batcher());
        Map<UUID, Integer> granted = new HashMap<>();
        sendRepeatedClaims(42, (router, id, attempt) -> routers.get(router)
                .claim(new Claim(id, attempt))
                .thenAccept(result -> countGrant(granted, id, result == ClaimResult.GRANTED)));
        assertTrue(granted.values().stream().allMatch(n -> n <= 1), "seed 42");
        assertTrue(granted.size() > 1_500, "only " + granted.size() + " ids were granted");
    }

    // Control for the test above: with the same load, routers that remember only their own ids grant ids twice.
    @Test
    public void routersWithLocalMemoryGrantIdsTwice() {
        List<Set<UUID>> remembered = List.of(new HashSet<>(), new HashSet<>(), new HashSet<>(), new HashSet<>());
        Map<UUID, Integer> granted = new HashMap<>();
        sendRepeatedClaims(
                42,
                (router, id, attempt) ->
                        countGrant(granted, id, remembered.get(router).add(id)));
        assertTrue(granted.values().stream().anyMatch(n -> n > 1));
    }

    private interface ClaimSender {
        void send(int router, UUID id, long attempt);
    }

    private static void countGrant(Map<UUID, Integer> granted, UUID id, boolean runs) {
        if (runs) {
            granted.merge(id, 1, Integer::sum);
        }
    }

    private void sendRepeatedClaims(long seed, ClaimSender sender) {
        SplittableRandom scheduleRandom = new SplittableRandom(seed);
        List<UUID> ids = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            ids.add(id());
            for (int repeat = 0; repeat < 3; repeat++) {
                UUID id = ids.get(Math.max(0, ids.size() - 1 - scheduleRandom.nextInt(4)));
                if (scheduleRandom.nextInt(4) == 0) {
                    store.failNextWrites(Fault.values()[scheduleRandom.nextInt(Fault.values().length)]);
                }
                sender.send(scheduleRandom.nextInt(4), id, scheduleRandom.nextLong());
            }
            timers.advance(scheduleRandom.nextInt(8));
        }
        timers.advance(1_000);
    }

    // Group commit: 1,000 claims that arrive together must need only a few writes.
    @Test
    public void concurrentClaimsShareWrites() {
        ClaimBatcher batcher = batcher();
        List<ClaimResult> results = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            batcher.claim(new Claim(id(), i)).thenAccept(results::add);
        }
        timers.advance(1_000);
        assertEquals(results.size(), 1_000);
        assertTrue(results.stream().allMatch(ClaimResult.GRANTED::equals));
        assertTrue(store.writes() <= 8, store.writes() + " writes");
    }
}
