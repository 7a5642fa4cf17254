package org.hornbeamhead.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class RetryTest {
    /**
     * One of eight replicas dies under full load. Without a budget each of its requests is retried; with the budget,
     * retries stay below a tenth of all requests.
     */
    @Test
    public void budgetLimitsRetriesToATenth() {
        RetryBudget budget = new RetryBudget();
        SplittableRandom random = new SplittableRandom(5);
        int requests = 20_000;
        int retries = 0;
        int unlimitedRetries = 0;
        for (int i = 0; i < requests; i++) {
            if (random.nextInt(8) == 0) {
                unlimitedRetries++;
                retries += budget.tryAcquire() ? 1 : 0;
            } else {
                budget.recordSuccess();
            }
        }
        assertTrue(unlimitedRetries > requests / 10, "retries without a budget: " + unlimitedRetries);
        assertTrue(retries < requests / 10, "retries with the budget: " + retries);
    }

    @Test
    public void consecutiveFailuresEjectAndOneSuccessResetsTheCount() {
        OutlierDetector detector = new OutlierDetector();
        detector.recordFailure(0);
        detector.recordFailure(0);
        detector.recordSuccess();
        detector.recordFailure(0);
        detector.recordFailure(0);
        assertFalse(detector.isEjected(0));
        detector.recordFailure(0);
        assertTrue(detector.isEjected(0));
        assertFalse(detector.isEjected(1_000));
        assertEquals(detector.ejectionEndMillis(), 1_000);
    }

    /** A replica that stays dead is retried at growing intervals, up to a limit. */
    @Test
    public void repeatedEjectionsGrowUpToALimit() {
        OutlierDetector detector = new OutlierDetector();
        long now = 0;
        long previous = 0;
        for (int i = 0; i < 10; i++) {
            detector.recordConnectFailure(now);
            long until = detector.ejectionEndMillis();
            assertTrue(until - now >= previous && until - now <= 32_000);
            previous = until - now;
            now = until;
        }
        assertEquals(previous, 32_000);
    }

    @Test
    public void delaysGrowAndAreRandomized() {
        Backoff backoff = new Backoff(100, 2_000);
        SplittableRandom random = new SplittableRandom(1);
        for (int failures = 0; failures < 40; failures++) {
            long limit = Math.min(2_000, 100L << Math.min(failures, 20));
            long delay = backoff.delayMillis(failures, random);
            assertTrue(delay >= limit / 2 && delay <= limit);
        }
    }
}
