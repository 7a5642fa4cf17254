package org.hornbeamhead.core.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EntrySpreadTest {
    private static final double LARGE = 195;
    private static final double SMALL = 14;
    private static final long UP = 60_000;

    private static List<EntrySpread.Candidate> hosts(int large, int small) {
        List<EntrySpread.Candidate> all = new ArrayList<>();
        IntStream.range(0, small)
                .mapToObj(i -> new EntrySpread.Candidate("small" + i, "dc" + i % 4, SMALL, UP))
                .forEach(all::add);
        IntStream.range(0, large)
                .mapToObj(i -> new EntrySpread.Candidate("large" + i, "dc" + i % 4, LARGE, UP))
                .forEach(all::add);
        return all;
    }

    /** Large and small hosts, the requests a second of all callers, and how many routers callers are told to use. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {8, 55, 480, 8},
            {8, 55, 0, 8},
            {7, 55, 480, 7},
            {2, 55, 480, 43},
            {0, 55, 480, 43},
            {0, 8, 68, 8},
            {0, 8, 5_000, 8},
            {20, 0, 500, 8},
            {20, 0, 3_000, 20},
            {1, 0, 10, 1},
            {0, 0, 10, 0},
        };
    }

    /**
     * Callers get answers late, since 63 routers choose engines by what others told an eighth of a second ago, and
     * those on small hosts are busy hearing it. As few routers are named as bear the load, the largest first; when the
     * large ones are lost, as many small ones as bear it together.
     */
    @Test(dataProvider = "fleets")
    public void namesAsFewAsBearTheLoad(int large, int small, double load, int named) {
        List<String> chosen = EntrySpread.choose(hosts(large, small), load);
        assertEquals(chosen.size(), named);
        assertEquals(chosen.stream().filter(a -> a.startsWith("large")).count(), Math.min(large, named));
    }

    @Test
    public void spreadsOverDataCentres() {
        List<String> chosen = EntrySpread.choose(hosts(40, 0), 100);
        assertEquals(
                chosen.stream()
                        .map(a -> Integer.parseInt(a.substring("large".length())) % 4)
                        .collect(Collectors.groupingBy(d -> d, Collectors.counting()))
                        .values()
                        .stream()
                        .distinct()
                        .toList(),
                List.of(2L));
    }

    /** A router more or less moves no caller but its own: the others stay named in the same order. */
    @Test
    public void aLostRouterMovesNoOtherCallers() {
        List<EntrySpread.Candidate> all = hosts(8, 55);
        List<String> before = EntrySpread.choose(all, 480);
        String lost = before.get(3);
        List<String> after = EntrySpread.choose(
                all.stream().filter(c -> !c.address().equals(lost)).toList(), 480);
        assertTrue(before.containsAll(after), before + " " + after);
    }

    /**
     * Callers get answers seconds late after a loss of power: the routers on the large hosts have just started, know no
     * load, and forward slowly until their code is compiled. All hosts share the callers until then.
     */
    @Test
    public void aFleetThatJustStartedSharesItsCallers() {
        List<EntrySpread.Candidate> all = hosts(8, 55).stream()
                .map(c -> new EntrySpread.Candidate(c.address(), c.dataCentre(), c.capacity(), 1_000))
                .toList();
        assertEquals(EntrySpread.choose(all, 0).size(), 63);
    }

    /** One large host lost its power: while it is cold it gets no callers, and the seven others bear them. */
    @Test
    public void oneRouterThatJustStartedWaitsForItsCallers() {
        List<EntrySpread.Candidate> all = hosts(8, 55).stream()
                .map(c -> c.address().equals("large3")
                        ? new EntrySpread.Candidate(c.address(), c.dataCentre(), c.capacity(), 1_000)
                        : c)
                .toList();
        List<String> chosen = EntrySpread.choose(all, 480);
        assertEquals(chosen.size(), 7);
        assertTrue(!chosen.contains("large3"), chosen.toString());
    }

    @Test
    public void theScarcerOfProcessorAndLinkCounts() {
        assertEquals(new HostCapacity(1.5, 140).requestsPerSecond(), 195.0);
        assertEquals(new HostCapacity(0.36, 7).requestsPerSecond(), 14.0);
    }
}
