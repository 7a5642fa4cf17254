package org.hornbeamhead.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ReplicaSubsetTest {
    private static List<Endpoint> pool(int size, int dataCentres) {
        return IntStream.range(0, size)
                .mapToObj(i -> new Endpoint(EndpointKind.ENGINE, "p", "e" + i, "", "dc-" + i % dataCentres, false))
                .toList();
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{8, 4, 8}, {64, 4, 64}, {190, 19, 64}, {1_900, 19, 100}, {11_000, 19, 579}};
    }

    @Test(dataProvider = "sizes")
    public void selectedSubsetHasExpectedSize(int size, int dataCentres, int expectedSize) {
        List<Endpoint> selected = ReplicaSubset.select(pool(size, dataCentres), "dc-1");
        assertEquals(selected.size(), expectedSize);
        long local =
                selected.stream().filter(e -> e.dataCentre().equals("dc-1")).count();
        assertTrue(local == expectedSize || local == size / dataCentres || local == size / dataCentres + 1);
    }
}
