package org.hornbeamhead.core.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CacheIsolationTest {
    private static final List<String> CUSTOMERS = List.of("a", "b", "ab", "1:a", "c.d", "/");

    private static String group(CacheIsolation isolation, String customer) {
        return isolation.isIsolated(customer) ? isolation.ownGroup(customer) : isolation.sharedGroup();
    }

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, 20).mapToObj(i -> new Object[] {(long) i}).toArray(Object[][]::new);
    }

    /** Guards against parts that an isolated customer shares with another one, after any changes of who is isolated. */
    @Test(dataProvider = "seeds")
    public void isolatedCustomerSharesNothing(long seed) {
        Random random = new Random(seed);
        Map<String, Set<String>> makers = new HashMap<>();
        for (int change = 0; change < 100; change++) {
            Set<String> isolated =
                    CUSTOMERS.stream().filter(c -> random.nextInt(3) == 0).collect(Collectors.toSet());
            CacheIsolation isolation = new CacheIsolation(isolated);
            for (String customer : CUSTOMERS) {
                Set<String> others = makers.computeIfAbsent(group(isolation, customer), k -> new HashSet<>());
                others.add(customer);
                assertTrue(
                        others.size() == 1
                                || others.stream().noneMatch(o -> isolated.contains(o) || isolated.contains(customer)),
                        customer + " shares with " + others + " while isolated: " + isolated);
            }
        }
    }

    /** Guards against caches that are lost though nothing changed, and against routers that name groups differently. */
    @Test
    public void namesOfGroupsFollowFromTheCustomersAlone() {
        assertEquals(
                new CacheIsolation(Set.of("a", "b", "c")).sharedGroup(),
                new CacheIsolation(new HashSet<>(List.of("c", "b", "a"))).sharedGroup());
        assertEquals(new CacheIsolation(Set.of()).sharedGroup(), "");
        assertNotEquals(
                new CacheIsolation(Set.of("ab", "c")).sharedGroup(),
                new CacheIsolation(Set.of("a", "bc")).sharedGroup());
    }
}
