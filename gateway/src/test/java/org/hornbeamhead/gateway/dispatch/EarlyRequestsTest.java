package org.hornbeamhead.gateway.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * All routers have just got their power back. A caller reaches one before the store has answered it; told to come back,
 * the caller would spend its one repeat and be late.
 */
public class EarlyRequestsTest {
    private final List<String> ends = new ArrayList<>();
    private ManualTimers timers;
    private EarlyRequests early;

    @BeforeMethod
    public void begin() {
        ends.clear();
        timers = new ManualTimers(new ManualClock(1_000));
        early = new EarlyRequests(timers);
    }

    private void hold(String name) {
        early.hold(() -> ends.add(name + " served"), () -> ends.add(name + " given back"));
    }

    @Test
    public void servesInOrderOnceTheConfigurationIsKnown() {
        hold("a");
        timers.advance(EarlyRequests.HOLD_MILLIS - 1);
        hold("b");
        early.release();
        timers.advance(0);
        assertEquals(ends, List.of("a served", "b served"));
        timers.advance(10_000);
        assertEquals(ends.size(), 2);
    }

    @Test
    public void givesBackWhenNoConfigurationComesInTime() {
        hold("a");
        timers.advance(EarlyRequests.HOLD_MILLIS);
        early.release();
        timers.advance(0);
        assertEquals(ends, List.of("a given back"));
    }

    /** Thousands of callers meet a router whose store is away: it keeps no more requests than its memory bears. */
    @Test
    public void givesBackWhatIsTooMuchAtOnce() {
        IntStream.rangeClosed(0, EarlyRequests.MAX_HELD).forEach(i -> hold("r" + i));
        assertEquals(ends, List.of("r" + EarlyRequests.MAX_HELD + " given back"));
    }
}
