package org.hornbeamhead.core.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StoreReadersTest {
    private static final double LARGE = 195;
    private static final double SMALL = 28;

    /** Every fifth host is large; these are assigned to the data centres in turn. */
    private static List<StoreReaders.Candidate> fleet(int routers, int dataCentres) {
        return IntStream.range(0, routers)
                .mapToObj(
                        i -> new StoreReaders.Candidate("n" + i, "d" + i / 5 % dataCentres, i % 5 == 0 ? LARGE : SMALL))
                .toList();
    }

    private static long dataCentres(List<StoreReaders.Candidate> routers) {
        return routers.stream()
                .map(StoreReaders.Candidate::dataCentre)
                .distinct()
                .count();
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{1, 1, 1}, {3, 3, 1}, {20, 4, 4}, {95, 6, 4}, {610, 19, 4}};
    }

    /**
     * The calls of all routers grow with the readers, so their number must not grow with the fleet. Small hosts need
     * their capacity for requests, and the loss of a data centre must leave readers elsewhere.
     */
    @Test(dataProvider = "fleets")
    public void selectsFewLargeHostsAtAnyFleetSize(int routers, int dataCentres, int readers) {
        List<StoreReaders.Candidate> selected = StoreReaders.choose(fleet(routers, dataCentres));
        assertEquals(selected.size(), readers);
        assertTrue(selected.stream().allMatch(r -> r.capacity() == LARGE));
        assertEquals(dataCentres(selected), Math.min(dataCentres, readers));
    }

    /**
     * Some routers receive the list of routers late. A router that all others take for a reader must know that it is
     * one, however many of the others are missing from its list; otherwise routers that wait for its updates receive
     * none.
     */
    @Test
    public void fleetReaderIsReaderInEverySubset() {
        Random random = new Random(3);
        List<StoreReaders.Candidate> routers = fleet(95, 6);
        List<StoreReaders.Candidate> readers = StoreReaders.choose(routers);
        for (int round = 0; round < 200; round++) {
            List<StoreReaders.Candidate> subset = new ArrayList<>(routers);
            Collections.shuffle(subset, random);
            subset = subset.subList(0, 1 + random.nextInt(subset.size()));
            List<StoreReaders.Candidate> subsetReaders = StoreReaders.choose(subset);
            subset.stream().filter(readers::contains).forEach(r -> assertTrue(subsetReaders.contains(r), r.toString()));
        }
    }

    /** Routers use the readers of their own data centre first, and readers get about equally many of the others. */
    @Test
    public void routersAreDistributedOverReaders() {
        List<StoreReaders.Candidate> routers = fleet(90, 6);
        List<StoreReaders.Candidate> readers = StoreReaders.choose(routers);
        Map<String, Integer> routersPerReader = new HashMap<>();
        for (StoreReaders.Candidate router : routers) {
            StoreReaders.Candidate first = StoreReaders.orderFor(readers, router.node(), router.dataCentre())
                    .get(0);
            boolean hasLocalReader =
                    readers.stream().anyMatch(r -> r.dataCentre().equals(router.dataCentre()));
            assertTrue(!hasLocalReader || first.dataCentre().equals(router.dataCentre()));
            routersPerReader.merge(first.node(), 1, Integer::sum);
        }
        assertEquals(routersPerReader.size(), readers.size());
        routersPerReader
                .values()
                .forEach(n -> assertTrue(n <= 2 * routers.size() / readers.size(), routersPerReader.toString()));
    }
}
