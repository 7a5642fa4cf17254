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

    /** Every fifth host is large; data centres take the hosts by turns. */
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
     * The calls of all routers grow with the readers, so their number must not grow with the fleet. Small hosts have
     * other work, and a lost data centre must leave readers elsewhere.
     */
    @Test(dataProvider = "fleets")
    public void aFewLargeHostsReadWhateverTheSize(int routers, int dataCentres, int readers) {
        List<StoreReaders.Candidate> chosen = StoreReaders.choose(fleet(routers, dataCentres));
        assertEquals(chosen.size(), readers);
        assertTrue(chosen.stream().allMatch(r -> r.capacity() == LARGE));
        assertEquals(dataCentres(chosen), Math.min(dataCentres, readers));
    }

    /**
     * Lists of routers come late to some. A router that all others take for a reader must know that it is one, however
     * many of the others it has not heard of: else those that wait at it hear nothing.
     */
    @Test
    public void aReaderOfTheWholeFleetIsOneOfEachPartThatKnowsIt() {
        Random random = new Random(3);
        List<StoreReaders.Candidate> all = fleet(95, 6);
        List<StoreReaders.Candidate> readers = StoreReaders.choose(all);
        for (int round = 0; round < 200; round++) {
            List<StoreReaders.Candidate> part = new ArrayList<>(all);
            Collections.shuffle(part, random);
            part = part.subList(0, 1 + random.nextInt(part.size()));
            List<StoreReaders.Candidate> ofPart = StoreReaders.choose(part);
            part.stream().filter(readers::contains).forEach(r -> assertTrue(ofPart.contains(r), r.toString()));
        }
    }

    /** Routers turn to the readers of their own data centre first, and readers get about equally many of the others. */
    @Test
    public void routersSpreadOverTheReaders() {
        List<StoreReaders.Candidate> all = fleet(90, 6);
        List<StoreReaders.Candidate> readers = StoreReaders.choose(all);
        Map<String, Integer> waiting = new HashMap<>();
        for (StoreReaders.Candidate router : all) {
            StoreReaders.Candidate first = StoreReaders.orderFor(readers, router.node(), router.dataCentre())
                    .get(0);
            boolean near = readers.stream().anyMatch(r -> r.dataCentre().equals(router.dataCentre()));
            assertTrue(!near || first.dataCentre().equals(router.dataCentre()));
            waiting.merge(first.node(), 1, Integer::sum);
        }
        assertEquals(waiting.size(), readers.size());
        waiting.values().forEach(n -> assertTrue(n <= 2 * all.size() / readers.size(), waiting.toString()));
    }
}
