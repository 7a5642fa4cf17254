package org.hornbeamhead.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SharedRetryBudgetTest {
    private static final long WINDOW = 10_000;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{1, 400}, {8, 50}, {8, 0}, {84, 5}};
    }

    /**
     * All replicas fail, and every router wants to repeat every request. Whatever the number of routers, the repeats of
     * all of them together stay within the ratio of the requests and the fixed number.
     */
    @Test(dataProvider = "fleets")
    public void allRoutersTogetherStayWithinTheBudget(int routers, int requestsEach) {
        long repeats = IntStream.range(0, routers)
                .mapToLong(r -> {
                    SharedRetryBudget b = new SharedRetryBudget(0.2, 56, WINDOW);
                    IntStream.range(0, requestsEach).forEach(i -> b.requested(i * 10L));
                    return IntStream.range(0, 10_000)
                            .filter(i -> b.tryTake(5_000, 1.0 / routers))
                            .count();
                })
                .sum();
        assertTrue(repeats <= 0.2 * routers * requestsEach + 56, "repeats: " + repeats);
    }

    @Test
    public void comesBackWithTheWindow() {
        SharedRetryBudget b = new SharedRetryBudget(0, 10, WINDOW);
        long first = IntStream.range(0, 100).filter(i -> b.tryTake(0, 1)).count();
        assertEquals(first, 7);
        assertEquals(IntStream.range(0, 100).filter(i -> b.tryTake(8_000, 1)).count(), 0);
        assertEquals(IntStream.range(0, 100).filter(i -> b.tryTake(11_000, 1)).count(), 7);
    }
}
