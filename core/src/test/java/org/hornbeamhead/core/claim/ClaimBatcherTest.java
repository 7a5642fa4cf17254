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
    private static final ClaimLimits LIMITS = new ClaimLimits(2, 1_000, 5, 10, 4);

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

    private ClaimBatcher router() {
        return new ClaimBatcher(store, clock, timers, LIMITS);
    }

    private UUID id() {
        return ClaimIds.next(clock.wallMillis(), random);
    }

    private ClaimResult claim(ClaimBatcher router, UUID id, long attempt) {
        AtomicReference<ClaimResult> result = new AtomicReference<>();
        router.claim(new Claim(id, attempt)).thenAccept(result::set);
        timers.advance(500);
        return result.get();
    }

    // The caller sends the same letter twice at once, through two routers. Both read the free id; one write wins, the
    // other finds the winner's attempt in the value. Exactly one may run it.
    @Test
    public void oneOfTwoRoutersIsGranted() {
        UUID id = id();
        AtomicReference<ClaimResult> first = new AtomicReference<>();
        AtomicReference<ClaimResult> second = new AtomicReference<>();
        router().claim(new Claim(id, 1)).thenAccept(first::set);
        router().claim(new Claim(id, 2)).thenAccept(second::set);
        timers.advance(500);
        assertEquals(List.of(first.get(), second.get()), List.of(ClaimResult.GRANTED, ClaimResult.TAKEN));
    }

    // A write's fate differs, the caller's view must not: what took effect is granted to its own attempt although the
    // answer was lost; what had no effect is written again; what stays unclear is never granted.
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
    public void lostAnswersAreSettled(Fault[] faults, ClaimResult expected) {
        store.failWrites(faults);
        assertEquals(claim(router(), id(), 1), expected);
    }

    // During an outage nothing can be claimed, and the answer says that surely nothing was. Afterwards the same id
    // runs.
    @Test
    public void outageIsUnavailableAndTheIdStaysFree() {
        UUID id = id();
        store.outage(true);
        assertEquals(claim(router(), id, 1), ClaimResult.UNAVAILABLE);
        store.outage(false);
        assertEquals(claim(router(), id, 2), ClaimResult.GRANTED);
    }

    // A router is paused with a claim in hand; an hour later it goes on with a clock that stood still. The slot has
    // moved
    // on to a later window, so that the old claim is refused for good instead of being taken for free.
    @Test
    public void pausedRouterCannotClaimWhatWasForgotten() {
        UUID old = id();
        assertEquals(claim(router(), old, 1), ClaimResult.GRANTED);
        ManualClock stopped = new ManualClock(START_MILLIS);
        ClaimBatcher paused = new ClaimBatcher(store, stopped, timers, LIMITS);
        clock.advance(LIMITS.windowMillis() * LIMITS.slots());
        // Enough claims that each partition's slots have moved on.
        for (int i = 0; i < 60; i++) {
            assertEquals(claim(router(), id(), i), ClaimResult.GRANTED);
        }
        assertEquals(claim(paused, old, 2), ClaimResult.EXPIRED);
    }

    @Test
    public void anOldIdIsExpiredAndOneFromTheFutureNotClaimed() {
        UUID old = id();
        UUID future = ClaimIds.next(START_MILLIS + 3_600_000, random);
        assertEquals(claim(router(), future, 1), ClaimResult.UNAVAILABLE);
        clock.advance(LIMITS.retentionMillis() + 1);
        assertEquals(claim(router(), old, 1), ClaimResult.EXPIRED);
        assertEquals(store.writes(), 0);
    }

    // Callers send ids again and again through four routers while writes are refused, lost before or after they took
    // effect. Whatever happens, no id is granted twice.
    @Test
    public void noIdIsGrantedTwiceUnderRandomFaults() {
        List<ClaimBatcher> routers = List.of(router(), router(), router(), router());
        Map<UUID, Integer> granted = new HashMap<>();
        sendAgainAndAgain(42, (router, id, attempt) -> routers.get(router)
                .claim(new Claim(id, attempt))
                .thenAccept(result -> count(granted, id, result == ClaimResult.GRANTED)));
        assertTrue(granted.values().stream().allMatch(n -> n <= 1), "seed 42");
        assertTrue(granted.size() > 1_500, "only " + granted.size() + " ids were granted");
    }

    // The naive way, in which each router remembers the ids that it ran itself, doubles ids under the same sending.
    @Test
    public void routersThatOnlyRememberTheirOwnIdsDoubleThem() {
        List<Set<UUID>> remembered = List.of(new HashSet<>(), new HashSet<>(), new HashSet<>(), new HashSet<>());
        Map<UUID, Integer> granted = new HashMap<>();
        sendAgainAndAgain(
                42,
                (router, id, attempt) ->
                        count(granted, id, remembered.get(router).add(id)));
        assertTrue(granted.values().stream().anyMatch(n -> n > 1));
    }

    private interface Send {
        void to(int router, UUID id, long attempt);
    }

    private static void count(Map<UUID, Integer> granted, UUID id, boolean runs) {
        if (runs) {
            granted.merge(id, 1, Integer::sum);
        }
    }

    private void sendAgainAndAgain(long seed, Send send) {
        SplittableRandom draws = new SplittableRandom(seed);
        List<UUID> ids = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            ids.add(id());
            for (int again = 0; again < 3; again++) {
                UUID id = ids.get(Math.max(0, ids.size() - 1 - draws.nextInt(4)));
                if (draws.nextInt(4) == 0) {
                    store.failWrites(Fault.values()[draws.nextInt(Fault.values().length)]);
                }
                send.to(draws.nextInt(4), id, draws.nextLong());
            }
            timers.advance(draws.nextInt(8));
        }
        timers.advance(1_000);
    }

    // Group commit: a thousand claims that arrive together cost a few writes.
    @Test
    public void claimsThatWaitTogetherShareWrites() {
        ClaimBatcher router = router();
        List<ClaimResult> results = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            router.claim(new Claim(id(), i)).thenAccept(results::add);
        }
        timers.advance(1_000);
        assertEquals(results.size(), 1_000);
        assertTrue(results.stream().allMatch(ClaimResult.GRANTED::equals));
        assertTrue(store.writes() <= 8, store.writes() + " writes");
    }
}
