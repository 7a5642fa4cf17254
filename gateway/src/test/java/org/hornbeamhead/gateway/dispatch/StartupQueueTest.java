package org.hornbeamhead.gateway.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests requests that arrive before the first configuration is loaded.
 *
 * <p>When all routers regain power together, a caller can reach one before it has read the store. Telling the caller to
 * retry would use up its one retry and make it late.
 */
public class StartupQueueTest {
    private final List<String> outcomes = new ArrayList<>();
    private ManualTimers timers;
    private StartupQueue queue;

    @BeforeMethod
    public void setUp() {
        outcomes.clear();
        timers = new ManualTimers(new ManualClock(1_000));
        queue = new StartupQueue(timers);
    }

    private void add(String name) {
        queue.add(() -> outcomes.add(name + " served"), () -> outcomes.add(name + " was rejected"));
    }

    @Test
    public void servesInOrderWhenConfigurationLoads() {
        add("a");
        timers.advance(StartupQueue.MAX_WAIT_MILLIS - 1);
        add("b");
        queue.release();
        timers.advance(0);
        assertEquals(outcomes, List.of("a served", "b served"));
        timers.advance(10_000);
        assertEquals(outcomes.size(), 2);
    }

    @Test
    public void rejectsWhenConfigurationIsLate() {
        add("a");
        timers.advance(StartupQueue.MAX_WAIT_MILLIS);
        queue.release();
        timers.advance(0);
        assertEquals(outcomes, List.of("a was rejected"));
    }

    /**
     * When the store is unavailable, thousands of callers may reach the router; the queue is bounded to limit memory.
     */
    @Test
    public void rejectsRequestsAboveTheLimit() {
        IntStream.rangeClosed(0, StartupQueue.MAX_REQUESTS).forEach(i -> add("r" + i));
        assertEquals(outcomes, List.of("r" + StartupQueue.MAX_REQUESTS + " was rejected"));
    }

    /** Guards against requests that are never answered since serving an earlier one failed. */
    @Test
    public void servesOthersWhenOneFails() {
        queue.add(
                () -> {
                    throw new IllegalStateException("serving fails");
                },
                () -> {});
        add("b");
        queue.release();
        assertThrows(IllegalStateException.class, () -> timers.advance(0));
        timers.advance(0);
        assertEquals(outcomes, List.of("b served"));
    }
}
