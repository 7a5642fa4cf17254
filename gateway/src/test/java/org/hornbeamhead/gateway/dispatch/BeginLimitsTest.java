package org.hornbeamhead.gateway.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.hornbeamhead.gateway.dispatch.BeginLimits.Weights;
import org.hornbeamhead.gateway.state.NamedAge;
import org.hornbeamhead.gateway.state.WeightsView;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests wait at engines, their first token still to come, while operators replace the weights there. */
public class BeginLimitsTest {
    private static final long BOUND = 8_000;
    private static final Weights FIRST = new Weights("m", 1);
    private static final long BEFORE_NAMING = 1_234;

    private final List<String> takenBack = new ArrayList<>();
    private ManualClock clock;
    private ManualTimers timers;
    private WeightsView view;
    private BeginLimits limits;
    private int asked;

    @BeforeMethod
    public void begin() {
        takenBack.clear();
        asked = 0;
        clock = new ManualClock(0);
        timers = new ManualTimers(clock);
        view = new WeightsView(BOUND);
        limits = new BeginLimits(timers, this::usable);
    }

    private long usable(Weights weights) {
        asked++;
        return view.usableMillis(weights.model(), weights.version(), clock.monotonicMillis());
    }

    private Runnable wait(String name, Weights weights) {
        return limits.watch(weights, () -> takenBack.add(name));
    }

    private void name(long version) {
        view.recordPublished("m", version, clock.monotonicMillis());
    }

    @DataProvider
    public Object[][] namings() {
        return new Object[][] {{"before the sending", true}, {"after the sending", false}};
    }

    /**
     * Newer weights are named before or after a request goes to an engine. It is taken back at the same time in both
     * cases: at the bound, not earlier, and once.
     */
    @Test(dataProvider = "namings")
    public void takesBackAtTheBoundWheneverTheNamingCame(String what, boolean before) {
        if (before) {
            name(2);
            wait("r", FIRST);
        } else {
            wait("r", FIRST);
            timers.advance(BEFORE_NAMING);
            name(2);
        }
        long left = limits.leftMillis(FIRST);
        timers.advance(left - 1);
        assertEquals(takenBack, List.of(), what);
        timers.advance(1);
        assertEquals(takenBack, List.of("r"), what);
        timers.advance(BOUND);
        assertEquals(takenBack, List.of("r"), what);
    }

    /**
     * A router finds at its start that weights were replaced, and leaves a moment of their use. While a request waits,
     * another router tells when it was, so long ago that the bound is over. The request is taken back with the next
     * look.
     */
    @Test
    public void heedsAnEarlierTimeOfNaming() {
        timers.advance(2 * BOUND);
        view.recordFound("m", 2, clock.monotonicMillis());
        wait("r", FIRST);
        timers.advance(BEFORE_NAMING);
        assertEquals(takenBack, List.of());
        view.recordFromPeer(new NamedAge("m", 2, BOUND, false), clock.monotonicMillis());
        timers.advance(BeginLimits.LOOK_MILLIS);
        assertEquals(takenBack, List.of("r"));
    }

    /**
     * The machine stands still while a request waits, and its clock leaves that time out. The request is taken back
     * with the next look after the watch has told how long it was.
     */
    @Test
    public void heedsThatTheMachineStoodStill() {
        name(2);
        wait("r", FIRST);
        timers.advance(BEFORE_NAMING);
        view.addSuspendedTime(BOUND);
        timers.advance(BeginLimits.LOOK_MILLIS);
        assertEquals(takenBack, List.of("r"));
    }

    /** A third version is named before the bound of the second is over: the first goes out of use with the second. */
    @Test
    public void aLaterNamingProlongsNothing() {
        name(2);
        wait("r", FIRST);
        long left = limits.leftMillis(FIRST);
        timers.advance(left - 1);
        name(3);
        timers.advance(1);
        assertEquals(takenBack, List.of("r"));
    }

    /** A request begins just before the bound: its answer goes on, though its weights go out of use. */
    @Test
    public void leavesAloneWhatHasBegun() {
        Runnable begun = wait("r", FIRST);
        wait("other", FIRST);
        name(2);
        timers.advance(limits.leftMillis(FIRST) - 1);
        begun.run();
        begun.run();
        timers.advance(BOUND);
        assertEquals(takenBack, List.of("other"));
    }

    @Test
    public void leavesAloneWhatWaitsForOtherWeights() {
        wait("newest", new Weights("m", 2));
        wait("another model", new Weights("n", 1));
        name(2);
        timers.advance(2 * BOUND);
        assertEquals(takenBack, List.of());
    }

    /** A request is sent between two looks, with less time left than until the next: it is taken back in time. */
    @Test
    public void aShortTimeDoesNotWaitForTheNextLook() {
        wait("newest", new Weights("m", 2));
        name(2);
        long left = limits.leftMillis(FIRST);
        timers.advance(left - left % BeginLimits.LOOK_MILLIS + 1);
        wait("r", FIRST);
        long few = limits.leftMillis(FIRST);
        assertTrue(few > 0 && few < BeginLimits.LOOK_MILLIS - 1, few + " ms");
        timers.advance(few);
        assertEquals(takenBack, List.of("r"));
    }

    /** What is taken back goes to another engine at once, within the same look; it waits there under its own limit. */
    @Test
    public void whatIsTakenBackMayBeSentAnew() {
        Weights second = new Weights("m", 2);
        limits.watch(FIRST, () -> wait("again", second));
        name(2);
        timers.advance(BOUND);
        assertEquals(takenBack, List.of());
        name(3);
        timers.advance(BOUND);
        assertEquals(takenBack, List.of("again"));
    }

    /** Hundreds of requests wait for the same weights: a look costs as for one. */
    @Test
    public void aLookCostsAsMuchAsThereAreWeights() {
        wait("r", FIRST);
        int one = lookCost();
        IntStream.range(0, 300).forEach(i -> wait("r" + i, FIRST));
        assertEquals(lookCost(), one);
    }

    /** Nothing waits any more: the router does not wake up for looks at nothing. */
    @Test
    public void nothingIsLookedAtWhenNothingWaits() {
        wait("r", FIRST).run();
        timers.advance(BeginLimits.LOOK_MILLIS);
        assertEquals(lookCost(), 0);
        wait("s", FIRST);
        assertTrue(lookCost() > 0);
    }

    private int lookCost() {
        asked = 0;
        timers.advance(BeginLimits.LOOK_MILLIS);
        return asked;
    }
}
