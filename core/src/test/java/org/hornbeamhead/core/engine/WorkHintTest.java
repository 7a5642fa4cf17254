package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WorkHintTest {
    @Test
    public void readsWhatItWrote() {
        WorkHint hint = new WorkHint(
                60_000,
                List.of(new WorkHint.Total(-7, 3, 2, 16 * 1_000), new WorkHint.Total(9, 0, 0, 0)),
                List.of(new WorkHint.Send(5, Long.MIN_VALUE + 3, 142, 21)));
        assertEquals(WorkHint.decode(hint.encode()).orElseThrow(), hint);
    }

    @Test
    public void staysWithinOneDatagram() {
        WorkHint.Send send = new WorkHint.Send(1, 2, 100_000, 0);
        WorkHint hint = new WorkHint(
                100_000,
                Collections.nCopies(500, new WorkHint.Total(1, 70_000, 70_000, 9_000_000)),
                Collections.nCopies(500, send));
        assertTrue(hint.encode().length < 1_450);
        assertEquals(WorkHint.decode(hint.encode()).orElseThrow().sends().get(0).readMillis(), 65_535);
    }

    @DataProvider
    public Object[][] others() {
        return new Object[][] {
            {new byte[0]},
            {new byte[] {4, 0, 0, 1, 0}},
            {new byte[] {3, 0, 0, 0, 0}},
            {new byte[] {4, 0, 0, 0, 0, 9}},
            {new byte[] {4, 0, 0}}
        };
    }

    @Test(dataProvider = "others")
    public void refusesOtherBytes(byte[] bytes) {
        assertTrue(WorkHint.decode(bytes).isEmpty());
    }
}
