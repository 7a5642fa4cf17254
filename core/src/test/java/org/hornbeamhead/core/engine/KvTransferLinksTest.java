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

public class KvTransferLinksTest {
    private static final List<KvTransferLinks.Store> STORES = IntStream.range(0, 3)
            .mapToObj(i -> new KvTransferLinks.Store("s" + i, "z", 100))
            .toList();

    /**
     * Guards against all routers using the first of three stores: its link then has a queue of seconds, and it evicts
     * what is requested next. Prefixes must be distributed evenly, and each must map to the same store every time.
     */
    @Test
    public void prefixesAreDistributedOverAllStores() {
        KvTransferLinks links = new KvTransferLinks(300, STORES);
        Map<String, Long> used = new Random(1)
                .longs(3_000)
                .mapToObj(b -> links.storeFor(b).orElseThrow().address())
                .collect(Collectors.groupingBy(a -> a, Collectors.counting()));
        assertEquals(used.size(), 3);
        assertTrue(used.values().stream().allMatch(n -> n > 900 && n < 1_100), used.toString());
        assertEquals(links.storeFor(-7), links.storeFor(-7));
    }

    @DataProvider
    public Object[][] speeds() {
        return new Object[][] {{530_000.0, 163_840L, 404.4}, {0.0, 163_840L, 175}, {530_000.0, 0L, 175}, {0.0, 0L, 175}
        };
    }

    /** A configuration without one of the figures must not make costs NaN or infinite. */
    @Test(dataProvider = "speeds")
    public void unknownSpeedFallsBackToDefault(double megabits, long tokenBytes, double tokensPerMilli) {
        assertEquals(KvTransferLinks.tokensPerMilli(megabits, tokenBytes), tokensPerMilli, 0.1);
    }

    @Test
    public void noStoreIsReturnedWithoutStores() {
        assertTrue(new KvTransferLinks(300, List.of()).storeFor(5).isEmpty());
    }
}
