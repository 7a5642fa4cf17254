package org.hornbeamhead.core.crash;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What callers get while requests come that end replicas. */
public class CrashPlayTest {
    private static final long CONTACT_MILLIS = 3_000;
    private static final int PLAY_MILLIS = 40_000;
    private static final int STEP_MILLIS = 50;
    /** The last part of the play, when all that ends replicas is known, and the longest run. */
    private static final int LATE_MILLIS = 10_000;

    @DataProvider
    public Object[][] plays() {
        return new Object[][] {
            {7, 6, 1, 0.0}, {7, 6, 1, 0.2}, {7, 6, 5, 0.05}, {7, 6, 12, 0.05}, {95, 56, 1, 0.05}, {95, 56, 20, 0.05},
        };
    }

    /** Guards against one request, or many at once, that take all replicas away from the others. */
    @Test(dataProvider = "plays")
    public void requestsThatEndReplicasAreStoppedAndOthersServed(
            int routerCount, int replicas, int ending, double loss) {
        GossipingRouters routers = new GossipingRouters(routerCount, Math.min(18, routerCount), loss);
        CrashPlay play = new CrashPlay(routers, replicas);
        List<RequestFingerprint> endings = LongStream.rangeClosed(1, ending)
                .mapToObj(RequestFingerprint::new)
                .toList();
        long next = 1_000;
        for (int t = 0; t < PLAY_MILLIS; t += STEP_MILLIS) {
            routers.timers.advance(STEP_MILLIS);
            for (int i = 0; i < replicas / 3; i++) {
                play.soundArrives(new RequestFingerprint(next++));
            }
            if (t % (10 * STEP_MILLIS) == 0) {
                endings.forEach(play::endingArrives);
            }
        }
        routers.timers.advance(CrashPlay.LONGEST_RUN_MILLIS);
        String figures = "held " + play.soundHeld() + ", ends "
                + endings.stream().map(play::ends).toList();
        endings.forEach(e -> assertTrue(play.sendsAfterThirdEnd(e, CONTACT_MILLIS) <= 3, e + ": " + figures));
        assertEquals(play.soundHeld(), 0, figures);
        assertEquals(play.soundServedLately(LATE_MILLIS), 1.0, figures);
    }
}
