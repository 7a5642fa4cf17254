package org.hornbeamhead.soak;

import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.hornbeamhead.platform.StandinPorts;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Guards against a soak that draws ports for ever once all are used up. */
public class SoakPortsTest {
    private static void drawAll() throws IOException {
        for (int i = 0; i <= Character.MAX_VALUE; i++) {
            StandinPorts.drawFreePort();
        }
    }

    @AfterMethod
    public void release() {
        StandinPorts.releaseAll();
    }

    @Test(timeOut = 60_000)
    public void usedUpPortsAreReportedAndReleasedOnesDrawnAgain() throws IOException {
        assertThrows(IOException.class, SoakPortsTest::drawAll);
        StandinPorts.releaseAll();
        assertTrue(StandinPorts.drawFreePort() > 0);
    }
}
