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

    /** The run, and what it is kept for. */
    @DataProvider
    public Object[][] runs() {
        return new Object[][] {
            {new SoakSettings(11, 8, 3, 9, 8, 0, 0, 0, 0, 0, false, 0, 0, 0, 0), "a short one for every build"},
            {
                new SoakSettings(1_002, 10, 4, 12, 16, 0, 0, 0, 0, 0, false, 0, 0, 0, 0),
                "weights named three times; an engine that refused old ones was left out for good"
            },
            {
                new SoakSettings(2_006, 10, 4, 12, 16, 0, 0, 0, 0, 0, false, 0, 0, 0, 0),
                "two stops at once; connections ended that nothing had announced, and the logs of the stop were lost"
            },
            {
                new SoakSettings(13, 10, 4, 12, 16, 0, 2, 0, 0, 0, false, 0, 0, 0, 0),
                "replicas that state request limits, beside other faults"
            },
            {
                new SoakSettings(8_045, 12, 4, 12, 16, 1, 2, 0, 0, 0, false, 0, 0, 0, 0),
                "a limit of 1.1 a second after 65 a second; requests from before the limit was known were counted"
            },
            {
                new SoakSettings(14, 12, 4, 12, 16, 0, 0, 2, 0, 0, false, 0, 0, 0, 0),
                "replicas that leave by their answers or ask for pauses, beside other faults"
            },
            {
                new SoakSettings(15, 10, 4, 12, 16, 0, 0, 0, 3, 0, false, 0, 0, 0, 0),
                "routers that lose all replicas, beside other faults"
            },
            {
                new SoakSettings(19, 10, 4, 12, 16, 0, 0, 0, 0, 2, false, 0, 0, 0, 0),
                "sound replicas that are silent for up to two seconds, beside other faults"
            },
            {
                new SoakSettings(20, 10, 3, 12, 16, 0, 0, 0, 0, 0, false, 2, 0, 0, 0),
                "replicas that send bytes without end, beside other faults"
            },
            {
                new SoakSettings(16, 10, 3, 12, 48, 0, 0, 0, 0, 0, true, 0, 0, 0, 0),
                "brittle replicas, beside other faults"
            },
            {
                new SoakSettings(17, 12, 4, 16, 8, 0, 0, 0, 0, 0, false, 0, 8, 0, 0),
                "callers that resume streams at engines of two software versions, beside other faults"
            },
            {release(21), "a release beside routers out of step; streams of v2 went on at v1"},
            {
                new SoakSettings(45, 14, 4, 12, 8, 0, 0, 0, 0, 0, false, 0, 0, 1, 0),
                "leaders that end one after the other beside late writes; a router missed one and left out the pause"
            },
            {
                new SoakSettings(12, 8, 3, 12, 8, 2, 0, 0, 0, 0, false, 0, 0, 0, 0),
                "requests that end each replica that runs them, beside other faults"
            },
            {
                new SoakSettings(18, 10, 3, 14, 12, 3, 0, 0, 0, 0, false, 0, 0, 0, 0),
                "a part of prompts that ends each replica which begins to answer, beside other faults"
            },
        };
    }

    private static SoakSettings release(long seed) {
        return new SoakSettings(seed, 9, 4, 12, 6, 0, 0, 0, 0, 0, false, 0, 12, 0, 1);
    }

    /**
     * Routers are killed, frozen, stopped and cut off from the store and from replicas while callers work. Every
     * promise is kept, and callers are served once the faults are over.
     */
    @Test(dataProvider = "runs")
    public void keepsAllPromises(SoakSettings settings, String why) throws Exception {
        SoakReport report = new SoakRun(settings, Files.createTempDirectory("soak")).play();
        assertEquals(report.breaches(), List.of(), why + "\n" + report.page());
        assertTrue(report.requests() > LEAST_REQUESTS, report.page());
    }
}
