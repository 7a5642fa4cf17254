package org.hornbeamhead.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Short runs of the soak with real processes. */
public class SoakRunTest {
    private static final int LEAST_REQUESTS = 200;

    /** The seed, and what it is kept for. */
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{11L, "a first seed for every build"}};
    }

    /**
     * Routers are killed, frozen, stopped and cut off from the store and from replicas while callers work. Every
     * promise is kept, and callers are served once the faults are over.
     */
    @Test(dataProvider = "seeds")
    public void keepsAllPromises(long seed, String why) throws Exception {
        SoakReport report = new SoakRun(new SoakSettings(seed, 8, 3, 9, 8), Files.createTempDirectory("soak")).play();
        assertEquals(report.breaches(), List.of(), why + "\n" + report.page());
        assertTrue(report.requests() > LEAST_REQUESTS, report.page());
    }
}
