package org.hornbeamhead.gateway.dispatch;

import static org.testng.Assert.assertEquals;

import org.hornbeamhead.core.route.RouteLimits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PatienceTest {
    private static final RouteLimits LIMITS = new RouteLimits(5_000, 800, 500, 2);
    private static final RouteLimits NO_PAUSE = new RouteLimits(600, 100, 0, 2);

    /** Limits, stream, may try again, predicted; and when the first byte and the next event are given up. */
    @DataProvider
    public Object[][] tries() {
        return new Object[][] {
            {LIMITS, true, true, 100.0, 1_200L, 1_000L},
            {LIMITS, true, true, 1_000.0, 2_500L, 1_000L},
            {LIMITS, true, false, 100.0, Patience.UNLIMITED, Patience.UNLIMITED},
            {NO_PAUSE, false, true, 0.0, 70L, Patience.UNLIMITED},
            {NO_PAUSE, false, false, 0.0, Patience.UNLIMITED, Patience.UNLIMITED},
        };
    }

    @Test(dataProvider = "tries")
    public void givesUpOnlyWhatCanBeRepeated(
            RouteLimits limits, boolean streams, boolean again, double predicted, long firstByte, long pause) {
        Patience patience = new Patience(limits, streams, again, predicted);
        assertEquals(patience.firstByteMillis(), firstByte);
        assertEquals(patience.pauseMillis(), pause);
    }

    @Test
    public void doubtsAReplicaThatIsLateByMoreThanPredictionsErr() {
        assertEquals(new Patience(LIMITS, true, false, 300).doubtMillis(), 550);
    }
}
