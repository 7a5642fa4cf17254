package org.hornbeamhead.core.crash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which requests are held back, by the replicas that ended under them. */
public class CrashHistoryTest {
    private static final long MINUTE = 60_000;
    private static final RequestFingerprint A = new RequestFingerprint(1);
    private static final RequestFingerprint B = new RequestFingerprint(2);
    private static final RequestFingerprint C = new RequestFingerprint(3);

    private final ManualClock clock = new ManualClock(1_000_000_000_000L);
    private CrashHistory history;

    /** Starts anew. */
    @BeforeMethod
    public void begin() {
        history = new CrashHistory(clock);
    }

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {"one", new int[] {1}, new int[] {}, new int[] {}, List.of()},
            {"two", new int[] {1, 2}, new int[] {}, new int[] {}, List.of()},
            {"the same end twice", new int[] {1, 2, 2, 1}, new int[] {}, new int[] {}, List.of()},
            {"three", new int[] {1, 2, 3}, new int[] {}, new int[] {}, List.of(A)},
            {"a neighbour at two of them", new int[] {1, 2, 3}, new int[] {2, 3}, new int[] {}, List.of(A)},
            {"a neighbour at three of four", new int[] {1, 2, 3, 4}, new int[] {2, 3, 4}, new int[] {}, List.of(A)},
            {"one that cannot be told apart yet", new int[] {1, 2, 3}, new int[] {1, 2, 3}, new int[] {}, List.of()},
            {
                "two that end replicas, together at first",
                new int[] {1, 2, 3, 4, 7},
                new int[] {1, 2, 3, 5, 6},
                new int[] {},
                List.of(A, B)
            },
            {
                "a neighbour of two that end replicas",
                new int[] {1, 2, 3, 4},
                new int[] {5, 6, 7, 8},
                new int[] {1, 2, 5, 6},
                List.of(A, B)
            },
            {
                "a neighbour that met an ordinary crash besides",
                new int[] {1, 2, 3, 4},
                new int[] {2, 3, 9},
                new int[] {},
                List.of(A)
            },
            {"always together, often", new int[] {1, 2, 3, 4}, new int[] {1, 2, 3, 4}, new int[] {}, List.of(A, B)},
        };
    }

    /** Guards against blaming requests that only shared replicas with one that ends them, and against blaming none. */
    @Test(dataProvider = "ends")
    public void blamesThoseThatEndReplicas(
            String what, int[] ofA, int[] ofB, int[] ofC, List<RequestFingerprint> blamed) {
        crashed(A, ofA);
        crashed(B, ofB);
        crashed(C, ofC);
        assertEquals(
                List.of(A, B, C).stream()
                        .filter(r -> history.heldMillis(r).isPresent())
                        .toList(),
                blamed,
                what);
    }

    /** Guards against a request that never runs alone, and so is never blamed. */
    @Test
    public void sixEndsAreEnoughWhateverElseWasThere() {
        crashed(A, 1, 2, 3, 4, 5, 6, 7);
        crashed(B, 1, 2, 3, 4, 5);
        assertFalse(history.heldMillis(B).isPresent());
        crashed(B, 6);
        assertTrue(history.heldMillis(B).isPresent());
    }

    /** Guards against holding back what runs to its end: a hot page that is under way wherever a replica ends. */
    @Test
    public void aRequestThatRanToItsEndIsCleared() {
        crashed(A, 1, 2);
        history.completed(A);
        crashed(A, 3, 4);
        assertFalse(history.heldMillis(A).isPresent());
        crashed(A, 5);
        assertTrue(history.heldMillis(A).isPresent());
    }

    /** Guards against telling a caller to stay away for long before all routers have told what they saw. */
    @Test
    public void isHeldBackBrieflyUntilAllHaveTold() {
        crashed(A, 1, 2, 3);
        assertEquals(history.heldMillis(A).orElse(0), 1_000);
        clock.advance(2_000);
        assertEquals(history.heldMillis(A).orElse(0), 10 * MINUTE - 2_000);
    }

    /**
     * Guards against holding a request back for ever, and against beginning to count anew when it ends replicas again.
     */
    @Test
    public void getsOneMoreChanceAfterEachTimeThatIsTwiceAsLong() {
        crashed(A, 1, 2, 3);
        clock.advance(10 * MINUTE);
        history.sweep();
        assertFalse(history.heldMillis(A).isPresent());
        crashed(A, 4);
        clock.advance(19 * MINUTE);
        history.sweep();
        assertEquals(history.heldMillis(A).orElse(0), MINUTE);
        clock.advance(MINUTE);
        assertFalse(history.heldMillis(A).isPresent());
    }

    /** Guards against memory that grows with the requests that met a crash. */
    @Test
    public void forgetsAndIsBounded() {
        crashed(A, 1, 2, 3);
        LongStream.range(100, 20_000).forEach(i -> history.crashed(run(new RequestFingerprint(i), 0), 4));
        assertTrue(history.reports().size() <= 4_096);
        IntStream.range(1_000, 2_000).forEach(i -> history.crashed(run(B, 0), i));
        assertTrue(history.reports().stream().allMatch(r -> r.crashes().size() <= 32));
        assertTrue(history.heldMillis(A).isPresent());
        clock.advance(24 * 60 * MINUTE);
        history.sweep();
        assertTrue(history.isEmpty());
    }

    /** Guards against a result that depends on who told first, or how often. */
    @Test
    public void whatRoutersTellIsJoinedInAnyOrder() {
        CrashHistory other = new CrashHistory(clock);
        crashed(A, 1, 2);
        other.crashed(run(A, 0), 2);
        clock.advance(150);
        other.crashed(run(A, 0), 3);
        other.crashed(run(B, 0), 3);
        other.completed(B);
        for (int i = 0; i < 2; i++) {
            List<CrashReport> told = history.reports();
            other.reports().forEach(history::merge);
            told.forEach(other::merge);
        }
        assertTrue(history.heldMillis(A).isPresent() && other.heldMillis(A).isPresent());
        crashed(B, 4, 5);
        assertFalse(history.heldMillis(B).isPresent());
    }

    /** Guards against a content that is read wrongly: requests that differ in one field only. */
    @Test
    public void contentsAreToldApart() {
        byte[] body = {1, 2, 3};
        assertEquals(RequestFingerprint.of("/a", "acme", body), RequestFingerprint.of("/a", "acme", body.clone()));
        assertEquals(
                List.of(
                                RequestFingerprint.of("/a", "acme", body),
                                RequestFingerprint.of("/b", "acme", body),
                                RequestFingerprint.of("/a", "acm", body),
                                RequestFingerprint.of("/aa", "cme", body),
                                RequestFingerprint.of("/a", "acme", new byte[] {1, 2}))
                        .stream()
                        .distinct()
                        .count(),
                5);
    }

    /** Guards against holding back a popular page that was under way at all replicas of a rack that lost its power. */
    @Test
    public void endsAtOneMomentCountOnce() {
        IntStream.range(0, 20).forEach(r -> history.crashed(run(A, 50L * r), r));
        assertFalse(history.heldMillis(A).isPresent());
        crashed(A, 21);
        assertFalse(history.heldMillis(A).isPresent());
        crashed(A, 22);
        assertTrue(history.heldMillis(A).isPresent());
    }

    /** Guards against missing a request that is sent to the next replica at once, and ends each within an instant. */
    @Test
    public void endsOfRunsThatFollowOneAnotherCountEach() {
        IntStream.range(0, 3).forEach(r -> {
            assertFalse(history.heldMillis(A).isPresent());
            clock.advance(60);
            history.crashed(run(A, 60), r);
        });
        assertTrue(history.heldMillis(A).isPresent());
    }

    /** Guards against counting fewer ends at routers that only heard of them, each a little later or earlier. */
    @Test
    public void endsOfRunsThatFollowOneAnotherCountAtOtherRoutersToo() {
        IntStream.of(68, 52, 64).forEach(heardAfter -> {
            clock.advance(heardAfter);
            history.merge(new CrashReport(A, List.of(new CrashReport.Crash(heardAfter, 0, 60, false))));
        });
        assertTrue(history.heldMillis(A).isPresent());
    }

    /** Guards against blaming a request that was sent over connections whose replicas were gone already. */
    @Test
    public void connectionsThatBreakAtOnceCountAsOneMoment() {
        IntStream.range(0, 12).forEach(r -> {
            clock.advance(5);
            history.crashed(run(A, 5), r);
        });
        assertFalse(history.heldMillis(A).isPresent());
    }

    private void crashed(RequestFingerprint request, int... replicas) {
        Arrays.stream(replicas).forEach(r -> {
            clock.advance(150);
            history.crashed(run(request, 0), r);
        });
    }

    private LostRun run(RequestFingerprint request, long millis) {
        long now = clock.monotonicMillis();
        return new LostRun(request, now - millis, now);
    }
}
