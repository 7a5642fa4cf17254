package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class EngineLoadTest {
    private static final long NOW = 10_000;

    @Test
    public void requestsArePrefilledInOrderOfArrival() {
        EngineLoad load = new EngineLoad();
        load.recordSent("a", 100, 5_000, false, NOW);
        load.recordHint(50, NOW + 10);
        assertEquals(load.waitMillis(NOW + 10), 185, 0.1);
        assertEquals(load.waitMillis(NOW + 200), 70, 0.1, "its first event is overdue by 70 ms");
        load.recordFirstEvent("a", NOW + 200);
        assertEquals(load.waitMillis(NOW + 200), 0, 0.1);
    }

    /**
     * The engine was faster than predicted: work sent before the request is done at its first event, work sent after it
     * is not.
     */
    @Test
    public void firstEventCorrectsPrediction() {
        EngineLoad load = new EngineLoad();
        load.recordSent("a", 1_000, 5_000, false, NOW);
        load.recordSent("b", 300, 5_000, false, NOW + 50);
        load.recordFirstEvent("a", NOW + 100);
        assertEquals(load.waitMillis(NOW + 100), 390, 0.1);
    }

    /**
     * More prompts arrive than an engine can prefill, and each is accepted while the wait is below 400 ms. If prefill
     * counted with its plain duration, the engine would prefill without a break and its running answers would pause for
     * half a second at every event. A fifth of the time or more must be left to them.
     */
    @Test
    public void prefillLeavesTimeForRunningAnswers() {
        EngineLoad load = new EngineLoad();
        double prefillMillis = 0;
        for (int ms = 0; ms < 10_000; ms += 20) {
            if (load.waitMillis(NOW + ms) < 400) {
                load.recordHint(100, NOW + ms);
                prefillMillis += 100;
            }
        }
        assertTrue(prefillMillis < 8_200, "prefill takes " + prefillMillis + " of 10,000 ms");
        assertTrue(prefillMillis > 7_000, "prefill takes " + prefillMillis + " of 10,000 ms");
    }

    /**
     * An engine stops answering without an error. Its oldest request is increasingly overdue, so that new requests
     * avoid it long before the registry removes it.
     */
    @Test
    public void silentEngineHasGrowingWait() {
        EngineLoad load = new EngineLoad();
        load.recordSent("a", 50, 5_000, false, NOW);
        assertTrue(load.waitMillis(NOW + 2_000) > 1_900);
        load.recordEnded("a");
        assertEquals(load.waitMillis(NOW + 2_000), 0, 0.1);
    }

    @Test
    public void hintOfAnotherRouterExpires() {
        EngineLoad load = new EngineLoad();
        load.recordHint("r", 4, 3, 20_000, NOW);
        assertEquals(load.runningRequests(NOW + 100), 4);
        assertEquals(load.memoryTokens(NOW + 100), 20_000);
        assertEquals(load.runningRequests(NOW + 2_000), 0);
        load.recordHint("r", 0, 0, 0, NOW);
        assertEquals(load.runningRequests(NOW), 0);
    }
}
