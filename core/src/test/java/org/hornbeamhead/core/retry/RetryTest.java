package org.hornbeamhead.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class RetryTest {
    // One of eight replicas dies under full load. Without a budget each of its requests is tried again; with it, tries
    // beyond the first stay below a tenth of all.
    @Test
    public void theBudgetBoundsSecondTries() {
        RetryBudget budget = new RetryBudget();
        SplittableRandom random = new SplittableRandom(5);
        int firsts = 20_000;
        int retries = 0;
        int unlimited = 0;
        for (int i = 0; i < firsts; i++) {
            if (random.nextInt(8) == 0) {
                unlimited++;
                retries += budget.tryTake() ? 1 : 0;
            } else {
                budget.succeeded();
            }
        }
        assertTrue(unlimited > firsts / 10, "the naive way adds " + unlimited);
        assertTrue(retries < firsts / 10, "the budget let through " + retries);
    }

    @Test
    public void failuresInARowEjectAndOneSuccessForgives() {
        OutlierGuard guard = new OutlierGuard();
        guard.failed(0);
        guard.failed(0);
        guard.succeeded();
        guard.failed(0);
        guard.failed(0);
        assertFalse(guard.ejected(0));
        guard.failed(0);
        assertTrue(guard.ejected(0));
        assertFalse(guard.ejected(1_000));
        assertEquals(guard.returnedAtMillis(), 1_000);
    }

    // A replica that stays dead is tried again less and less often, up to a limit.
    @Test
    public void ejectionsGrowLonger() {
        OutlierGuard guard = new OutlierGuard();
        long now = 0;
        long last = 0;
        for (int i = 0; i < 10; i++) {
            guard.unreachable(now);
            long until = guard.returnedAtMillis();
            assertTrue(until - now >= last && until - now <= 32_000);
            last = until - now;
            now = until;
        }
        assertEquals(last, 32_000);
    }

    @Test
    public void delaysGrowAndAreSpread() {
        Backoff backoff = new Backoff(100, 2_000);
        SplittableRandom random = new SplittableRandom(1);
        for (int failures = 0; failures < 40; failures++) {
            long limit = Math.min(2_000, 100L << Math.min(failures, 20));
            long delay = backoff.delayMillis(failures, random);
            assertTrue(delay >= limit / 2 && delay <= limit);
        }
    }
}
