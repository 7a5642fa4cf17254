package org.hornbeamhead.core.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests one router's limiter: statements that cross, hints that are late or repeated, and the times of returns. */
public class RequestLimiterTest {
    private static final double NONE = Double.POSITIVE_INFINITY;

    private static LimitHint.Entry entry(double limit, int requestedAge, int answeredAge, Integer... sends) {
        return new LimitHint.Entry(
                1, Optional.of(new LimitHint.Statement(limit, requestedAge, answeredAge)), List.of(sends));
    }

    @DataProvider
    public Object[][] statements() {
        return new Object[][] {
            // first and second: limit, requested, answered; which limit holds
            {2.0, 100, 200, 3.0, 200, 300, 3.0},
            {2.0, 100, 200, 3.0, 150, 300, 2.0},
            {3.0, 100, 200, 2.0, 150, 300, 2.0},
            {2.0, 100, 200, NONE, 250, 300, NONE},
            {2.0, 100, 200, NONE, 90, 300, 2.0},
            {NONE, 250, 300, 2.0, 100, 200, NONE},
            {0.0, 100, 200, 2.0, 200, 300, 2.0},
            {2.0, 100, 9_000, 1.0, 50, 80, 2.0},
        };
    }

    /** Guards against an older statement that replaces a newer one because its answer arrived later. */
    @Test(dataProvider = "statements")
    public void laterStatementHolds(double a, long aSent, long aEnd, double b, long bSent, long bEnd, double holds) {
        RequestLimiter limiter = new RequestLimiter();
        limiter.observe(new StatedLimit(a, aSent, aEnd));
        limiter.observe(new StatedLimit(b, bSent, bEnd));
        assertEquals(limiter.stated().requestsPerSecond(), holds);
    }

    /** Guards against requests that were sent before the limit was known and are not counted. */
    @Test
    public void earlierSendsCount() {
        RequestLimiter limiter = new RequestLimiter();
        for (int i = 0; i < 20; i++) {
            limiter.recordSend(i * 100L);
        }
        assertTrue(limiter.accepts(1, 2_000));
        limiter.observe(new StatedLimit(2, 1_900, 2_000));
        assertFalse(limiter.accepts(1, 2_000));
        assertFalse(limiter.accepts(1, 4_000));
        assertTrue(limiter.accepts(1, 7_000));
    }

    @DataProvider
    public Object[][] refusals() {
        return new Object[][] {{0.0, 5}, {0.05, 3}, {2.0, 3}, {2.0, 40}, {500.0, 700}};
    }

    /** Guards against a Retry-After at which the request is refused again. */
    @Test(dataProvider = "refusals")
    public void bookedReturnIsWithinTheLimit(double limit, int sends) {
        RequestLimiter limiter = new RequestLimiter();
        limiter.observe(new StatedLimit(limit, 0, 10));
        for (int i = 0; i < sends; i++) {
            limiter.recordSend(1_000);
        }
        assertFalse(limiter.accepts(1, 1_000));
        long millis = limiter.bookReturnMillis(1, 1_000);
        long nextMillis = limiter.bookReturnMillis(1, 1_000);
        assertTrue(millis >= 1 && millis <= 5_100, "returns after " + millis + " ms");
        assertTrue(limiter.accepts(1, 1_000 + millis));
        assertTrue(nextMillis > millis, "callers return one after the other");
    }

    /** Guards against callers that are told to wait for others who were refused before and did not return. */
    @Test
    public void bookedReturnsThatNobodyUsesAreDropped() {
        RequestLimiter limiter = new RequestLimiter();
        limiter.observe(new StatedLimit(2, 0, 10));
        limiter.recordSend(1_000);
        for (int i = 0; i < 40; i++) {
            limiter.bookReturnMillis(1, 1_000);
        }
        assertTrue(limiter.accepts(1, 8_000));
        limiter.recordSend(8_000);
        assertTrue(limiter.bookReturnMillis(1, 8_000) <= 700);
    }

    /** Guards against hints that arrive twice, late or from an earlier run of a router. */
    @Test
    public void repeatedAndLateHintsChangeNothing() {
        RequestLimiter limiter = new RequestLimiter();
        assertTrue(limiter.merge(5, 2, entry(2, 80, 20, 1, 1), 1_000));
        assertFalse(limiter.merge(5, 2, entry(9, 80, 20, 9, 9), 1_000));
        assertFalse(limiter.merge(5, 1, entry(9, 80, 20, 9, 9), 1_010));
        assertEquals(limiter.recentSends(1_010), 2);
        limiter.merge(6, 1, entry(2, 80, 20, 3), 1_020);
        assertEquals(limiter.recentSends(1_020), 5);
        assertEquals(limiter.recentSends(7_000), 0);
    }

    /** Guards against a late hint of no limit that ends a newer limit. */
    @Test
    public void hintOfNoLimitEndsOnlyAnOlderOne() {
        RequestLimiter limiter = new RequestLimiter();
        limiter.observe(new StatedLimit(2, 900, 1_000));
        assertFalse(limiter.merge(5, 1, entry(NONE, 500, 100), 1_800));
        assertTrue(limiter.isLimited());
        assertTrue(limiter.merge(5, 2, entry(NONE, 100, 10), 3_000));
        assertFalse(limiter.isLimited());
    }

    /** Guards against a statement that seems newer each time it is passed on. */
    @Test
    public void onlyAnswersToTheRouterItselfArePassedOn() {
        RequestLimiter limiter = new RequestLimiter();
        limiter.merge(5, 1, entry(2, 80, 20, 1), 1_000);
        limiter.recordSend(1_100);
        assertEquals(limiter.takeEntry(1, 1_200), new LimitHint.Entry(1, Optional.empty(), List.of(0, 1)));
    }

    @Test
    public void shareOfALimitIsLess() {
        RequestLimiter limiter = new RequestLimiter();
        limiter.observe(new StatedLimit(8, 0, 10));
        limiter.recordSend(100);
        assertTrue(limiter.accepts(1, 250));
        assertFalse(limiter.accepts(0.25, 250));
        assertTrue(limiter.accepts(0.25, 800));
    }

    @Test
    public void replicaWithoutALimitTakesAll() {
        RequestLimiter limiter = new RequestLimiter();
        for (int i = 0; i < 100_000; i++) {
            limiter.recordSend(i / 100);
        }
        assertTrue(limiter.accepts(0.01, 1_000));
        assertFalse(limiter.hasUntold());
    }

    @Test
    public void hintsAreDecodedAsEncoded() {
        LimitHint hint = new LimitHint(
                7, 8, List.of(entry(2.5, 30, 20, 1, 0, 255), new LimitHint.Entry(3, Optional.empty(), List.of())));
        assertEquals(LimitHint.decode(hint.encode()), Optional.of(hint));
    }

    /** Guards against booked returns that are released when the limit is only looked at. */
    @Test
    public void lookingAtTheLimitKeepsBookedReturns() {
        RequestLimiter limiter = new RequestLimiter();
        limiter.observe(new StatedLimit(2, 0, 10));
        limiter.recordSend(1_000);
        assertFalse(limiter.wouldAccept(1, 1_000));
        limiter.bookReturnMillis(1, 1_000);
        limiter.bookReturnMillis(1, 1_000);
        long next = limiter.nextReturnMillis(1, 1_600);
        assertTrue(limiter.wouldAccept(1, 1_600));
        assertEquals(limiter.nextReturnMillis(1, 1_600), next);
        assertTrue(next > 1_600);
        assertTrue(limiter.accepts(1, 1_600));
        assertEquals(limiter.nextReturnMillis(1, 1_600), 1_600);
    }
}
