package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LoadHintTest {
    @Test
    public void decodesEncodedHint() {
        LoadHint hint = new LoadHint(
                60_000,
                List.of(new LoadHint.ReplicaLoad(-7, 3, 2, 16 * 1_000), new LoadHint.ReplicaLoad(9, 0, 0, 0)),
                List.of(new LoadHint.SentRequest(5, Long.MIN_VALUE + 3, 142, 21)));
        assertEquals(LoadHint.decode(hint.encode()).orElseThrow(), hint);
    }

    @Test
    public void encodedHintFitsOneDatagram() {
        LoadHint.SentRequest send = new LoadHint.SentRequest(1, 2, 100_000, 0);
        LoadHint hint = new LoadHint(
                100_000,
                Collections.nCopies(500, new LoadHint.ReplicaLoad(1, 70_000, 70_000, 9_000_000)),
                Collections.nCopies(500, send));
        assertTrue(hint.encode().length < 1_450);
        assertEquals(
                LoadHint.decode(hint.encode())
                        .orElseThrow()
                        .sentRequests()
                        .get(0)
                        .prefillMillis(),
                65_535);
    }

    @DataProvider
    public Object[][] invalidDatagrams() {
        return new Object[][] {
            {new byte[0]},
            {new byte[] {4, 0, 0, 1, 0}},
            {new byte[] {3, 0, 0, 0, 0}},
            {new byte[] {4, 0, 0, 0, 0, 9}},
            {new byte[] {4, 0, 0}}
        };
    }

    @Test(dataProvider = "invalidDatagrams")
    public void rejectsInvalidBytes(byte[] bytes) {
        assertTrue(LoadHint.decode(bytes).isEmpty());
    }
}
