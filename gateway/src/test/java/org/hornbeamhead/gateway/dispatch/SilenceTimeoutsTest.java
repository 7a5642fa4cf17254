package org.hornbeamhead.gateway.dispatch;

import static org.testng.Assert.assertEquals;

import org.hornbeamhead.core.route.RouteLimits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SilenceTimeoutsTest {
    private static final RouteLimits LIMITS = new RouteLimits(5_000, 800, 500, 2);
    private static final RouteLimits LIMITS_WITHOUT_PAUSE = new RouteLimits(600, 100, 0, 2);

    /** Limits, streaming, retry possible, predicted time; expected first byte and pause timeouts. */
    @DataProvider
    public Object[][] attempts() {
        return new Object[][] {
            {LIMITS, true, true, 100.0, 1_500L, 1_500L},
            {LIMITS, true, true, 1_000.0, 2_500L, 1_500L},
            {LIMITS, true, false, 100.0, SilenceTimeouts.UNLIMITED, SilenceTimeouts.UNLIMITED},
            {LIMITS_WITHOUT_PAUSE, false, true, 0.0, 70L, SilenceTimeouts.UNLIMITED},
            {LIMITS_WITHOUT_PAUSE, false, false, 0.0, SilenceTimeouts.UNLIMITED, SilenceTimeouts.UNLIMITED},
        };
    }

    @Test(dataProvider = "attempts")
    public void timesOutOnlyRetryableAttempts(
            RouteLimits limits,
            boolean streaming,
            boolean canRetry,
            double predictedMillis,
            long firstByteMillis,
            long pauseMillis) {
        SilenceTimeouts timeouts = new SilenceTimeouts(limits, streaming, canRetry, predictedMillis);
        assertEquals(timeouts.firstByteMillis(), firstByteMillis);
        assertEquals(timeouts.pauseMillis(), pauseMillis);
    }

    @Test
    public void probesAfterPredictionPlusMargin() {
        assertEquals(new SilenceTimeouts(LIMITS, true, false, 300).probeDelayMillis(), 550);
    }
}
