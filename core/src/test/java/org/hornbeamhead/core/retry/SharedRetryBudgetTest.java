package org.hornbeamhead.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SharedRetryBudgetTest {
    private static final long WINDOW_MILLIS = 10_000;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{1, 400}, {8, 50}, {8, 0}, {84, 5}};
    }

    /**
     * All replicas fail and every router tries to retry every request. For any number of routers, their retries
     * together stay within the ratio of the requests plus the fixed number.
     */
    @Test(dataProvider = "fleets")
    public void allRoutersTogetherStayWithinTheSharedBudget(int routers, int requestsEach) {
        long retries = IntStream.range(0, routers)
                .mapToLong(r -> {
                    SharedRetryBudget budget = new SharedRetryBudget(0.2, 56, WINDOW_MILLIS);
                    IntStream.range(0, requestsEach).forEach(i -> budget.recordRequest(i * 10L));
                    return IntStream.range(0, 10_000)
                            .filter(i -> budget.tryAcquire(5_000, 1.0 / routers))
                            .count();
                })
                .sum();
        assertTrue(retries <= 0.2 * routers * requestsEach + 56, "retries: " + retries);
    }

    @Test
    public void budgetIsRestoredAfterTheWindow() {
        SharedRetryBudget budget = new SharedRetryBudget(0, 10, WINDOW_MILLIS);
        long first =
                IntStream.range(0, 100).filter(i -> budget.tryAcquire(0, 1)).count();
        assertEquals(first, 7);
        assertEquals(
                IntStream.range(0, 100).filter(i -> budget.tryAcquire(8_000, 1)).count(), 0);
        assertEquals(
                IntStream.range(0, 100)
                        .filter(i -> budget.tryAcquire(11_000, 1))
                        .count(),
                7);
    }
}
