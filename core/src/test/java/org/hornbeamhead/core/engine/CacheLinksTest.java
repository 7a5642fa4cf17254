package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CacheLinksTest {
    private static final List<CacheLinks.Store> STORES = IntStream.range(0, 3)
            .mapToObj(i -> new CacheLinks.Store("s" + i, "z", 100))
            .toList();

    /**
     * Three stores stand beside forty engines, and every router takes the first one: its link has a queue of seconds,
     * and it drops what is asked for next. Beginnings are spread alike, and each has the same store every time.
     */
    @Test
    public void beginningsAreSpreadOverAllStores() {
        CacheLinks links = new CacheLinks(300, STORES);
        Map<String, Long> used = new Random(1)
                .longs(3_000)
                .mapToObj(b -> links.store(b).orElseThrow().address())
                .collect(Collectors.groupingBy(a -> a, Collectors.counting()));
        assertEquals(used.size(), 3);
        assertTrue(used.values().stream().allMatch(n -> n > 900 && n < 1_100), used.toString());
        assertEquals(links.store(-7), links.store(-7));
    }

    @DataProvider
    public Object[][] speeds() {
        return new Object[][] {{530_000.0, 163_840L, 404.4}, {0.0, 163_840L, 175}, {530_000.0, 0L, 175}, {0.0, 0L, 175}
        };
    }

    /** A configuration that leaves out a figure must not make every cost a number that compares with none. */
    @Test(dataProvider = "speeds")
    public void aSpeedIsAlwaysANumber(double megabits, long tokenBytes, double tokensPerMilli) {
        assertEquals(CacheLinks.tokensPerMilli(megabits, tokenBytes), tokensPerMilli, 0.1);
    }

    @Test
    public void noStoreIsNamedWhereThereIsNone() {
        assertTrue(new CacheLinks(300, List.of()).store(5).isEmpty());
    }
}
