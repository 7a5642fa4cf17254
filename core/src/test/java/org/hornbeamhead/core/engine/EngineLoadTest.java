package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class EngineLoadTest {
    private static final long NOW = 10_000;

    @Test
    public void workIsReadInTheOrderInWhichItWasSent() {
        EngineLoad load = new EngineLoad();
        load.sent("a", 100, 5_000, false, NOW);
        load.hinted(50, NOW + 10);
        assertEquals(load.waitMillis(NOW + 10), 185, 0.1);
        assertEquals(load.waitMillis(NOW + 200), 70, 0.1, "its first event is overdue by 70 ms");
        load.firstEvent("a", NOW + 200);
        assertEquals(load.waitMillis(NOW + 200), 0, 0.1);
    }

    /** The engine was quicker than predicted: what was sent before the first event is read, what came after is not. */
    @Test
    public void aFirstEventCorrectsThePrediction() {
        EngineLoad load = new EngineLoad();
        load.sent("a", 1_000, 5_000, false, NOW);
        load.sent("b", 300, 5_000, false, NOW + 50);
        load.firstEvent("a", NOW + 100);
        assertEquals(load.waitMillis(NOW + 100), 390, 0.1);
    }

    /**
     * More prompts come than an engine can read, and each is let in while the wait is below 400 ms. If reading were
     * counted as long as it takes, the engine would read without a break and its running answers would pause for half a
     * second at every event. A fifth of the time or more must be left to them.
     */
    @Test
    public void readingLeavesTimeToRunningAnswers() {
        EngineLoad load = new EngineLoad();
        double read = 0;
        for (int ms = 0; ms < 10_000; ms += 20) {
            if (load.waitMillis(NOW + ms) < 400) {
                load.hinted(100, NOW + ms);
                read += 100;
            }
        }
        assertTrue(read < 8_200, "read for " + read + " of 10,000 ms");
        assertTrue(read > 7_000, "read for " + read + " of 10,000 ms");
    }

    /**
     * An engine has fallen silent without a sign. Its oldest request is more and more overdue, so that new requests
     * avoid it long before the registry drops it.
     */
    @Test
    public void aSilentEngineLooksBusierAndBusier() {
        EngineLoad load = new EngineLoad();
        load.sent("a", 50, 5_000, false, NOW);
        assertTrue(load.waitMillis(NOW + 2_000) > 1_900);
        load.ended("a");
        assertEquals(load.waitMillis(NOW + 2_000), 0, 0.1);
    }

    @Test
    public void whatAnotherRouterSaidRunsOut() {
        EngineLoad load = new EngineLoad();
        load.hinted("r", 4, 3, 20_000, NOW);
        assertEquals(load.total(NOW + 100), 4);
        assertEquals(load.memoryTokens(NOW + 100), 20_000);
        assertEquals(load.total(NOW + 2_000), 0);
        load.hinted("r", 0, 0, 0, NOW);
        assertEquals(load.total(NOW), 0);
    }
}
