package org.hornbeamhead.core.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalInt;
import java.util.stream.LongStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StatedLoadTest {
    private StatedLoad load;

    @BeforeMethod
    public void setUp() {
        load = new StatedLoad();
    }

    private boolean observe(int pacePercent, long requestedMillis, long answeredMillis) {
        return load.observe(new LoadStatement(0, 0, 6, OptionalInt.of(pacePercent)), requestedMillis, answeredMillis);
    }

    @DataProvider
    public Object[][] ages() {
        return new Object[][] {{0, 2.5}, {500, 1.75}, {889, 1.1665}, {910, 1}, {5_000, 1}};
    }

    /** Guards against a replica that is avoided long after its machine is idle again. */
    @Test(dataProvider = "ages")
    public void paceDecays(long nowMillis, double pace) {
        observe(250, 0, 0);
        assertEquals(load.pace(nowMillis), pace, 1e-9);
    }

    /** Guards against a delayed response that replaces the statement of a newer one. */
    @Test
    public void laterRequestIsNewer() {
        assertTrue(observe(250, 20, 30));
        assertFalse(observe(100, 10, 40));
        assertTrue(load.isSlow(40));
        assertTrue(observe(100, 21, 41));
        assertFalse(load.isSlow(41));
    }

    /** Guards against routers that all avoid and prefer a replica near the limit in turn. */
    @Test
    public void paceNearTheLimitDoesNotFlap() {
        long changes = LongStream.range(0, 40)
                .filter(i -> {
                    boolean before = load.isSlow(i * 50);
                    observe(i % 2 == 0 ? 129 : 131, i * 50, i * 50);
                    return load.isSlow(i * 50) != before;
                })
                .count();
        assertEquals(changes, 1);
    }
}
