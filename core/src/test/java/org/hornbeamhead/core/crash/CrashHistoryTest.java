package org.hornbeamhead.core.crash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which requests are quarantined for the replicas that crashed while running them. */
public class CrashHistoryTest {
    private static final long MINUTE = 60_000;
    private static final RequestFingerprint A = Fingerprints.content(1);
    private static final RequestFingerprint B = Fingerprints.content(2);
    private static final RequestFingerprint C = Fingerprints.content(3);

    private final ManualClock clock = new ManualClock(1_000_000_000_000L);
    private CrashHistory history;

    /** Creates an empty history. */
    @BeforeMethod
    public void setUp() {
        history = new CrashHistory(clock);
    }

    @DataProvider
    public Object[][] crashSets() {
        return new Object[][] {
            {"one crash", new int[] {1}, new int[] {}, new int[] {}, List.of()},
            {"two crashes", new int[] {1, 2}, new int[] {}, new int[] {}, List.of()},
            {"the same crash reported twice", new int[] {1, 2, 2, 1}, new int[] {}, new int[] {}, List.of()},
            {"three crashes", new int[] {1, 2, 3}, new int[] {}, new int[] {}, List.of(A)},
            {
                "another request on two of the three replicas",
                new int[] {1, 2, 3},
                new int[] {2, 3},
                new int[] {},
                List.of(A)
            },
            {
                "another request on three of four replicas",
                new int[] {1, 2, 3, 4},
                new int[] {2, 3, 4},
                new int[] {},
                List.of(A)
            },
            {
                "two requests on the same three replicas",
                new int[] {1, 2, 3},
                new int[] {1, 2, 3},
                new int[] {},
                List.of()
            },
            {
                "two culprits, at first on the same replicas",
                new int[] {1, 2, 3, 4, 7},
                new int[] {1, 2, 3, 5, 6},
                new int[] {},
                List.of(A, B)
            },
            {
                "another request on replicas of two culprits",
                new int[] {1, 2, 3, 4},
                new int[] {5, 6, 7, 8},
                new int[] {1, 2, 5, 6},
                List.of(A, B)
            },
            {
                "another request that also ran during an unrelated crash",
                new int[] {1, 2, 3, 4},
                new int[] {2, 3, 9},
                new int[] {},
                List.of(A)
            },
            {
                "two requests on the same four replicas",
                new int[] {1, 2, 3, 4},
                new int[] {1, 2, 3, 4},
                new int[] {},
                List.of(A, B)
            },
        };
    }

    /** Culprits must be quarantined, but not requests that merely ran on the same replicas. */
    @Test(dataProvider = "crashSets")
    public void quarantinesOnlyRequestsThatCrashReplicas(
            String description, int[] ofA, int[] ofB, int[] ofC, List<RequestFingerprint> expected) {
        recordCrashes(A, ofA);
        recordCrashes(B, ofB);
        recordCrashes(C, ofC);
        assertEquals(
                List.of(A, B, C).stream()
                        .filter(r -> history.quarantineMillis(r).isPresent())
                        .toList(),
                expected,
                description);
    }

    /** A request that always runs together with others must still be quarantined eventually. */
    @Test
    public void sixCrashesSufficeWhateverElseWasRunning() {
        recordCrashes(A, 1, 2, 3, 4, 5, 6, 7);
        recordCrashes(B, 1, 2, 3, 4, 5);
        assertFalse(history.quarantineMillis(B).isPresent());
        recordCrashes(B, 6);
        assertTrue(history.quarantineMillis(B).isPresent());
    }

    /**
     * A popular page that is running on every replica that crashes must not be quarantined, since it completes
     * elsewhere.
     */
    @Test
    public void completedRequestIsExonerated() {
        recordCrashes(A, 1, 2);
        history.recordCompletion(A);
        recordCrashes(A, 3, 4);
        assertFalse(history.quarantineMillis(A).isPresent());
        recordCrashes(A, 5);
        assertTrue(history.quarantineMillis(A).isPresent());
    }

    /** A short answer may be whole before its replica ends, so it must not exonerate the parts of its prompt. */
    @Test
    public void completionExoneratesOnlyTheContent() {
        RequestFingerprint first = Fingerprints.prompt(4, "a", "bad");
        RequestFingerprint second = Fingerprints.prompt(5, "c", "bad");
        recordCrashes(first, 1, 2);
        history.recordCompletion(first);
        recordCrashes(second, 3);
        assertTrue(history.quarantineMillis(Fingerprints.prompt(6, "d", "bad")).isPresent());
        assertFalse(history.quarantineMillis(Fingerprints.prompt(7, "a", "c")).isPresent());
    }

    /** A replica that runs on exonerates the parts of the prompt, but only of crashes before it began. */
    @Test
    public void survivorExoneratesPartsOfEarlierCrashes() {
        IntStream.rangeClosed(1, 2).forEach(i -> recordCrashes(Fingerprints.prompt(10 + i, "a"), i));
        long startedAt = clock.monotonicMillis() + 1;
        IntStream.rangeClosed(3, 4).forEach(i -> recordCrashes(Fingerprints.prompt(10 + i, "a"), i));
        history.recordSurvival(Fingerprints.prompt(20, "a"), startedAt);
        assertFalse(history.quarantineMillis(Fingerprints.prompt(21, "a")).isPresent());
        recordCrashes(Fingerprints.prompt(15, "a"), 5);
        assertTrue(history.quarantineMillis(Fingerprints.prompt(21, "a")).isPresent());
    }

    /** An attempt that had been answered for a while when its replica crashed must not count against its features. */
    @Test
    public void attemptThatItsReplicaHadSurvivedDoesNotCount() {
        RequestFingerprint popular = Fingerprints.prompt(4, "a");
        IntStream.range(0, 6).forEach(replica -> {
            clock.advance(1_000);
            long now = clock.monotonicMillis();
            history.recordCrash(new LostAttempt(popular, now - 900, OptionalLong.of(now - 600), now), replica);
        });
        assertFalse(history.quarantineMillis(popular).isPresent());
    }

    /** Parts that were always present together must be told apart by few requests, not by refusing all. */
    @Test
    public void partsThatCannotBeToldApartAreTested() {
        IntStream.rangeClosed(1, 5).forEach(i -> recordCrashes(Fingerprints.prompt(i, "a", "bad"), i));
        clock.advance(1_000);
        RequestFingerprint sound = Fingerprints.prompt(10, "a", "c");
        assertFalse(history.admitAsTest(Fingerprints.prompt(11, "a", "bad")));
        assertTrue(history.quarantineMillis(sound).isPresent());
        assertTrue(history.admitAsTest(sound));
        history.recordSurvival(sound, clock.monotonicMillis());
        assertFalse(history.quarantineMillis(sound).isPresent());
        assertTrue(history.quarantineMillis(Fingerprints.prompt(12, "bad")).orElse(0) > MINUTE);
    }

    /** A part has the same name in all spellings of its id. */
    @Test
    public void spellingsOfAPartAreOneFeature() {
        assertEquals(
                Stream.of("bad", "BAD", "0bad", "00Bad")
                        .map(CrashFeature::promptPart)
                        .distinct()
                        .count(),
                1);
        assertNotEquals(CrashFeature.promptPart("0"), CrashFeature.promptPart("1"));
    }

    /** A long quarantine must not be announced to callers before the reports of all routers have arrived. */
    @Test
    public void quarantineIsShortWhileReportsPropagate() {
        recordCrashes(A, 1, 2, 3);
        assertEquals(history.quarantineMillis(A).orElse(0), 1_000);
        clock.advance(2_000);
        assertEquals(history.quarantineMillis(A).orElse(0), 10 * MINUTE - 2_000);
    }

    /**
     * A quarantine must expire, but the crash count must not restart: one further crash leads to a quarantine twice as
     * long.
     */
    @Test
    public void eachFurtherCrashDoublesTheQuarantine() {
        recordCrashes(A, 1, 2, 3);
        clock.advance(10 * MINUTE);
        history.removeExpired();
        assertFalse(history.quarantineMillis(A).isPresent());
        recordCrashes(A, 4);
        clock.advance(19 * MINUTE);
        history.removeExpired();
        assertEquals(history.quarantineMillis(A).orElse(0), MINUTE);
        clock.advance(MINUTE);
        assertFalse(history.quarantineMillis(A).isPresent());
    }

    /** Memory must not grow with the number of requests that were running during crashes. */
    @Test
    public void historyIsBoundedAndExpires() {
        recordCrashes(A, 1, 2, 3);
        LongStream.range(100, 20_000).forEach(i -> history.recordCrash(lostAttempt(Fingerprints.content(i), 0), 4));
        assertTrue(history.reports().size() <= 4_096);
        IntStream.range(1_000, 2_000).forEach(i -> history.recordCrash(lostAttempt(B, 0), i));
        assertTrue(history.reports().stream().allMatch(r -> r.crashes().size() <= 32));
        assertTrue(history.quarantineMillis(A).isPresent());
        clock.advance(24 * 60 * MINUTE);
        history.removeExpired();
        assertTrue(history.isEmpty());
    }

    /** The result of merging must not depend on the order in which reports arrive, or on repeated reports. */
    @Test
    public void mergeDoesNotDependOnOrderOrRepetition() {
        CrashHistory other = new CrashHistory(clock);
        recordCrashes(A, 1, 2);
        other.recordCrash(lostAttempt(A, 0), 2);
        clock.advance(150);
        other.recordCrash(lostAttempt(A, 0), 3);
        other.recordCrash(lostAttempt(B, 0), 3);
        other.recordCompletion(B);
        for (int i = 0; i < 2; i++) {
            List<CrashReport> reports = history.reports();
            other.reports().forEach(history::merge);
            reports.forEach(other::merge);
        }
        assertTrue(history.quarantineMillis(A).isPresent()
                && other.quarantineMillis(A).isPresent());
        recordCrashes(B, 4, 5);
        assertFalse(history.quarantineMillis(B).isPresent());
    }

    /** Requests that differ in a single field must have different fingerprints. */
    @Test
    public void differentContentsHaveDifferentFingerprints() {
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

    /** A popular page must not be quarantined because it was running on all replicas of a rack that lost power. */
    @Test
    public void simultaneousCrashesCountOnce() {
        IntStream.range(0, 20).forEach(r -> history.recordCrash(lostAttempt(A, 50L * r), r));
        assertFalse(history.quarantineMillis(A).isPresent());
        recordCrashes(A, 21);
        assertFalse(history.quarantineMillis(A).isPresent());
        recordCrashes(A, 22);
        assertTrue(history.quarantineMillis(A).isPresent());
    }

    /** A request that is retried immediately and crashes each replica within a short time must be detected. */
    @Test
    public void crashesOfConsecutiveAttemptsCountSeparately() {
        IntStream.range(0, 3).forEach(r -> {
            assertFalse(history.quarantineMillis(A).isPresent());
            clock.advance(60);
            history.recordCrash(lostAttempt(A, 60), r);
        });
        assertTrue(history.quarantineMillis(A).isPresent());
    }

    /** Routers that learn of the crashes from reports must count the same, though their timing differs slightly. */
    @Test
    public void reportedCrashesOfConsecutiveAttemptsCountSeparately() {
        IntStream.of(68, 52, 64).forEach(delay -> {
            clock.advance(delay);
            history.merge(new CrashReport(A.content(), List.of(new CrashReport.Crash(delay, 0, 60, false))));
        });
        assertTrue(history.quarantineMillis(A).isPresent());
    }

    /** A request that was sent over connections to replicas that were already gone must not be quarantined. */
    @Test
    public void connectionsThatBreakImmediatelyCountOnce() {
        IntStream.range(0, 12).forEach(r -> {
            clock.advance(5);
            history.recordCrash(lostAttempt(A, 5), r);
        });
        assertFalse(history.quarantineMillis(A).isPresent());
    }

    private void recordCrashes(RequestFingerprint request, int... replicas) {
        Arrays.stream(replicas).forEach(r -> {
            clock.advance(150);
            history.recordCrash(lostAttempt(request, 0), r);
        });
    }

    private LostAttempt lostAttempt(RequestFingerprint request, long runMillis) {
        long now = clock.monotonicMillis();
        return new LostAttempt(request, now - runMillis, now);
    }
}
