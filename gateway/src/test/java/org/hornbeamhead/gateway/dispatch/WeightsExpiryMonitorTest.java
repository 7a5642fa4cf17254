package org.hornbeamhead.gateway.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.hornbeamhead.gateway.dispatch.WeightsExpiryMonitor.ModelVersion;
import org.hornbeamhead.gateway.state.NamedAge;
import org.hornbeamhead.gateway.state.WeightsView;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the cancellation of requests that are queued at engines while newer weights are released. */
public class WeightsExpiryMonitorTest {
    private static final long BOUND = 8_000;
    private static final ModelVersion FIRST = new ModelVersion("m", 1);
    private static final long DELAY_BEFORE_RELEASE = 1_234;

    private final List<String> cancelled = new ArrayList<>();
    private ManualClock clock;
    private ManualTimers timers;
    private WeightsView view;
    private WeightsExpiryMonitor monitor;
    private int lookups;

    @BeforeMethod
    public void setUp() {
        cancelled.clear();
        lookups = 0;
        clock = new ManualClock(0);
        timers = new ManualTimers(clock);
        view = new WeightsView(BOUND);
        monitor = new WeightsExpiryMonitor(timers, this::usableMillis);
    }

    private long usableMillis(ModelVersion modelVersion) {
        lookups++;
        return view.usableMillis(modelVersion.model(), modelVersion.version(), clock.monotonicMillis());
    }

    private Runnable enqueue(String name, ModelVersion modelVersion) {
        return monitor.watch(modelVersion, () -> cancelled.add(name));
    }

    private void release(long version) {
        view.recordPublished("m", version, clock.monotonicMillis());
    }

    @DataProvider
    public Object[][] releaseTimes() {
        return new Object[][] {{"released before sending", true}, {"released after sending", false}};
    }

    /**
     * Newer weights may be released before or after a request is sent. In both cases the request is cancelled exactly
     * once, at the bound and not earlier.
     */
    @Test(dataProvider = "releaseTimes")
    public void cancelsAtTheBoundForEarlyAndLateRelease(String description, boolean releasedBefore) {
        if (releasedBefore) {
            release(2);
            enqueue("r", FIRST);
        } else {
            enqueue("r", FIRST);
            timers.advance(DELAY_BEFORE_RELEASE);
            release(2);
        }
        long remaining = monitor.remainingMillis(FIRST);
        timers.advance(remaining - 1);
        assertEquals(cancelled, List.of(), description);
        timers.advance(1);
        assertEquals(cancelled, List.of("r"), description);
        timers.advance(BOUND);
        assertEquals(cancelled, List.of("r"), description);
    }

    /**
     * A router that finds superseded weights at its start assumes that little of their usable time remains. If another
     * router then reports a release so long ago that the bound has passed, the queued request is cancelled at the next
     * check.
     */
    @Test
    public void cancelsAtNextCheckWhenReleaseTurnsOutEarlier() {
        timers.advance(2 * BOUND);
        view.recordFound("m", 2, clock.monotonicMillis());
        enqueue("r", FIRST);
        timers.advance(DELAY_BEFORE_RELEASE);
        assertEquals(cancelled, List.of());
        view.recordFromPeer(new NamedAge("m", 2, BOUND, false), clock.monotonicMillis());
        timers.advance(WeightsExpiryMonitor.CHECK_INTERVAL_MILLIS);
        assertEquals(cancelled, List.of("r"));
    }

    /**
     * The monotonic clock may not count time in which the machine was suspended. The request is cancelled at the next
     * check after the length of the suspension is known.
     */
    @Test
    public void cancelsAtNextCheckAfterSuspension() {
        release(2);
        enqueue("r", FIRST);
        timers.advance(DELAY_BEFORE_RELEASE);
        view.addSuspendedTime(BOUND);
        timers.advance(WeightsExpiryMonitor.CHECK_INTERVAL_MILLIS);
        assertEquals(cancelled, List.of("r"));
    }

    /**
     * A third version released before the bound of the second does not extend the use of the first, which still expires
     * with the second.
     */
    @Test
    public void thirdVersionDoesNotExtendTheBound() {
        release(2);
        enqueue("r", FIRST);
        long remaining = monitor.remainingMillis(FIRST);
        timers.advance(remaining - 1);
        release(3);
        timers.advance(1);
        assertEquals(cancelled, List.of("r"));
    }

    /** A request that starts just before the bound continues, although its weights expire. */
    @Test
    public void doesNotCancelStartedRequests() {
        Runnable started = enqueue("r", FIRST);
        enqueue("other", FIRST);
        release(2);
        timers.advance(monitor.remainingMillis(FIRST) - 1);
        started.run();
        started.run();
        timers.advance(BOUND);
        assertEquals(cancelled, List.of("other"));
    }

    @Test
    public void doesNotCancelRequestsForOtherVersionsOrModels() {
        enqueue("newest", new ModelVersion("m", 2));
        enqueue("another model", new ModelVersion("n", 1));
        release(2);
        timers.advance(2 * BOUND);
        assertEquals(cancelled, List.of());
    }

    /** A request sent between two checks, with less time remaining than until the next check, is cancelled on time. */
    @Test
    public void cancelsOnTimeWhenExpiryPrecedesNextCheck() {
        enqueue("newest", new ModelVersion("m", 2));
        release(2);
        long usableTime = monitor.remainingMillis(FIRST);
        timers.advance(usableTime - usableTime % WeightsExpiryMonitor.CHECK_INTERVAL_MILLIS + 1);
        enqueue("r", FIRST);
        long remaining = monitor.remainingMillis(FIRST);
        assertTrue(remaining > 0 && remaining < WeightsExpiryMonitor.CHECK_INTERVAL_MILLIS - 1, remaining + " ms");
        timers.advance(remaining);
        assertEquals(cancelled, List.of("r"));
    }

    /**
     * A cancelled request may be sent to another engine within the same check. It is then queued there under its own
     * expiry time.
     */
    @Test
    public void cancelledRequestMayBeQueuedAgain() {
        ModelVersion second = new ModelVersion("m", 2);
        monitor.watch(FIRST, () -> enqueue("again", second));
        release(2);
        timers.advance(BOUND);
        assertEquals(cancelled, List.of());
        release(3);
        timers.advance(BOUND);
        assertEquals(cancelled, List.of("again"));
    }

    /** Hundreds of queued requests for the same weights make a check no more expensive than one. */
    @Test
    public void checkCostDependsOnVersionsNotRequests() {
        enqueue("r", FIRST);
        int lookupsForOneRequest = lookupsPerCheck();
        IntStream.range(0, 300).forEach(i -> enqueue("r" + i, FIRST));
        assertEquals(lookupsPerCheck(), lookupsForOneRequest);
    }

    /** Without queued requests no checks are scheduled. */
    @Test
    public void doesNotCheckWhenNothingIsQueued() {
        enqueue("r", FIRST).run();
        timers.advance(WeightsExpiryMonitor.CHECK_INTERVAL_MILLIS);
        assertEquals(lookupsPerCheck(), 0);
        enqueue("s", FIRST);
        assertTrue(lookupsPerCheck() > 0);
    }

    private int lookupsPerCheck() {
        lookups = 0;
        timers.advance(WeightsExpiryMonitor.CHECK_INTERVAL_MILLIS);
        return lookups;
    }
}
