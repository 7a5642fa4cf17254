package org.hornbeamhead.core.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EntrySelectionTest {
    private static final double LARGE = 195;
    private static final double SMALL = 14;
    private static final long UPTIME_MILLIS = 60_000;

    private static List<EntrySelection.Candidate> hosts(int large, int small) {
        List<EntrySelection.Candidate> candidates = new ArrayList<>();
        IntStream.range(0, small)
                .mapToObj(i -> new EntrySelection.Candidate("small" + i, "dc" + i % 4, SMALL, UPTIME_MILLIS))
                .forEach(candidates::add);
        IntStream.range(0, large)
                .mapToObj(i -> new EntrySelection.Candidate("large" + i, "dc" + i % 4, LARGE, UPTIME_MILLIS))
                .forEach(candidates::add);
        return candidates;
    }

    /**
     * Number of large and of small hosts, the requests a second of all callers, and the expected number of selected
     * routers.
     */
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
     * Guards against late answers when 63 routers choose engines by hints that are an eighth of a second old, and small
     * hosts are busy receiving them. As few routers as can take the load must be selected, the largest first; when the
     * large ones are lost, as many small ones as take it together.
     */
    @Test(dataProvider = "fleets")
    public void selectsFewestRoutersThatTakeTheLoad(int large, int small, double load, int expected) {
        List<String> selected = EntrySelection.choose(hosts(large, small), load);
        assertEquals(selected.size(), expected);
        assertEquals(selected.stream().filter(a -> a.startsWith("large")).count(), Math.min(large, expected));
    }

    @Test
    public void distributesOverDataCentres() {
        List<String> selected = EntrySelection.choose(hosts(40, 0), 100);
        assertEquals(
                selected.stream()
                        .map(a -> Integer.parseInt(a.substring("large".length())) % 4)
                        .collect(Collectors.groupingBy(d -> d, Collectors.counting()))
                        .values()
                        .stream()
                        .distinct()
                        .toList(),
                List.of(2L));
    }

    /** The loss of a router must move only its own callers: the other selected routers stay selected. */
    @Test
    public void lossOfRouterKeepsOtherSelections() {
        List<EntrySelection.Candidate> candidates = hosts(8, 55);
        List<String> before = EntrySelection.choose(candidates, 480);
        String lost = before.get(3);
        List<String> after = EntrySelection.choose(
                candidates.stream().filter(c -> !c.address().equals(lost)).toList(), 480);
        assertTrue(before.containsAll(after), before + " " + after);
    }

    /**
     * After a power failure the routers on the large hosts have just started, do not know the load, and forward slowly
     * until their code is compiled, so that answers are seconds late. All hosts must share the callers until then.
     */
    @Test
    public void allRoutersServeAfterFleetRestart() {
        List<EntrySelection.Candidate> candidates = hosts(8, 55).stream()
                .map(c -> new EntrySelection.Candidate(c.address(), c.dataCentre(), c.capacity(), 1_000))
                .toList();
        assertEquals(EntrySelection.choose(candidates, 0).size(), 63);
    }

    /**
     * After a power failure of one large host, its router must get no callers during its warm-up; the seven others take
     * them.
     */
    @Test
    public void restartedRouterIsLeftOutDuringWarmUp() {
        List<EntrySelection.Candidate> candidates = hosts(8, 55).stream()
                .map(c -> c.address().equals("large3")
                        ? new EntrySelection.Candidate(c.address(), c.dataCentre(), c.capacity(), 1_000)
                        : c)
                .toList();
        List<String> selected = EntrySelection.choose(candidates, 480);
        assertEquals(selected.size(), 7);
        assertTrue(!selected.contains("large3"), selected.toString());
    }

    @Test
    public void capacityIsLimitedByScarcerResource() {
        assertEquals(new HostCapacity(1.5, 140).requestsPerSecond(), 195.0);
        assertEquals(new HostCapacity(0.36, 7).requestsPerSecond(), 14.0);
    }
}
