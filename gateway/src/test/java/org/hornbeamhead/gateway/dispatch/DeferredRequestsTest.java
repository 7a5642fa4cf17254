package org.hornbeamhead.gateway.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.hornbeamhead.core.engine.EngineCandidate;
import org.hornbeamhead.core.engine.EngineLoad;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.hornbeamhead.daemon.Metrics;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests requests that wait in a router before one engine, in virtual time. */
public class DeferredRequestsTest {
    private static final int SLOTS = 24;
    private static final long TARGET = 1_500;
    private static final long TIME_LEFT = 15_000;

    private final List<String> outcomes = new ArrayList<>();
    private final List<Long> returns = new ArrayList<>();
    private List<EngineCandidate> engines;
    private EngineLoad load;
    private ManualClock clock;
    private ManualTimers timers;
    private DeferredRequests deferred;

    @BeforeMethod
    public void setUp() {
        outcomes.clear();
        returns.clear();
        load = new EngineLoad();
        engines = List.of(new EngineCandidate("e", "d", 1, true, load, 92_000, SLOTS, false, Long.MAX_VALUE, false));
        clock = new ManualClock(0);
        timers = new ManualTimers(clock);
        deferred = new DeferredRequests(clock, timers, new Metrics(), () -> 10);
    }

    private void fill(int requests) {
        IntStream.range(0, requests).forEach(i -> load.recordSent("running" + i, 0, 1, false, clock.monotonicMillis()));
    }

    private DeferrableRequest request(String name, long bytes) {
        long now = clock.monotonicMillis();
        return new DeferrableRequest(
                name,
                "service",
                "route",
                "customer",
                2,
                new DeferrableRequest.Size(100, bytes),
                new DeferrableRequest.Times(now, now + TARGET, now + TIME_LEFT, TARGET, 500),
                () -> engines,
                new DeferrableRequest.Outcome() {
                    @Override
                    public void send() {
                        outcomes.add(name + " sent");
                        load.recordSent(name, 0, 1, false, clock.monotonicMillis());
                    }

                    @Override
                    public void refuse(String reason, long returnMillis) {
                        outcomes.add(name + " refused " + reason.substring(reason.indexOf(": ") + 2));
                        returns.add(returnMillis);
                    }
                });
    }

    private DeferrableRequest ask(String name) {
        DeferrableRequest request = request(name, 1);
        deferred.ask(request);
        return request;
    }

    @DataProvider
    public Object[][] deadlines() {
        return new Object[][] {{400L}, {2_000L}, {15_000L}};
    }

    /** Guards against new requests that are refused as late since their callers wait for less than the route allows. */
    @Test(dataProvider = "deadlines")
    public void targetCountsFromTheArrivalWhateverTheDeadline(long timeLeftMillis) {
        DeferrableRequest.Times times = DeferrableRequest.Times.of(1_000, 1_000 + timeLeftMillis, 1_500, 500);
        assertEquals(times.latestStartAt(), 2_500);
        assertEquals(times.waitUntilMillis(), 1_000 + Math.min(750, timeLeftMillis));
    }

    /** Guards against a wait where there is no shortage, and against timers that then run for nothing. */
    @Test
    public void sendsAtOnceWithoutShortage() {
        IntStream.range(0, SLOTS).forEach(i -> ask("r"));
        assertEquals(outcomes.size(), SLOTS);
        assertEquals(deferred.waiting(), 0);
    }

    /** Guards against requests that wait on although a request of this router has ended. */
    @Test
    public void triesAgainWhenARequestEnds() {
        fill(SLOTS);
        ask("a");
        timers.advance(6);
        load.recordEnded("running0");
        deferred.retry();
        timers.advance(0);
        assertEquals(outcomes, List.of("a sent"));
    }

    /** Guards against slots of the reserve that deferrable requests take while there are urgent ones. */
    @Test
    public void leavesReserveFree() {
        IntStream.range(0, 10).forEach(i -> deferred.recordArrival("service", false));
        fill(SLOTS - 3);
        ask("a");
        assertEquals(outcomes, List.of());
        assertEquals(deferred.withRoom("service", 500, engines), List.of());
    }

    /** Guards against requests that wait on slots of a router that does not tell of its load any more. */
    @Test
    public void countsOwnRequestsOnlyWhenNoOtherRouterIsHeard() {
        load.recordHint("other", SLOTS, 0, 1, clock.monotonicMillis());
        timers.advance(1_000);
        ask("a");
        timers.advance(499);
        assertEquals(outcomes, List.of());
        timers.advance(DeferredRequests.INTERVAL_MILLIS);
        assertEquals(outcomes, List.of("a sent"));
    }

    /** Guards against requests that are held until their deadline. */
    @Test
    public void refusesAfterHalfOfTheTarget() {
        fill(SLOTS);
        ask("a");
        timers.advance(TARGET / 2 - 1);
        assertEquals(outcomes, List.of());
        timers.advance(DeferredRequests.INTERVAL_MILLIS);
        assertEquals(outcomes, List.of("a refused wait over"));
        assertTrue(returns.get(0) >= 300 && returns.get(0) <= TIME_LEFT / 3, returns.toString());
    }

    /** Guards against bodies and requests without a bound, over all services of a router together. */
    @Test
    public void refusesBeyondBounds() {
        fill(SLOTS);
        deferred.ask(request("large", 1_048_577));
        IntStream.range(0, 64).forEach(i -> ask("r" + i));
        ask("next");
        assertEquals(outcomes, List.of("large refused queue full", "next refused queue full"));
        assertEquals(deferred.waiting(), 64);
    }

    /** Guards against a request that is sent after its caller has left. */
    @Test
    public void callerLeaves() {
        fill(SLOTS);
        DeferrableRequest left = ask("a");
        deferred.leave(left);
        assertEquals(deferred.waiting(), 0);
        load.recordEnded("running0");
        timers.advance(TARGET);
        assertEquals(outcomes, List.of());
    }

    /** Guards against requests that wait in a router that ends, and against new ones that wait there. */
    @Test
    public void stopRefusesWhatWaits() {
        fill(SLOTS);
        ask("a");
        deferred.stop();
        assertEquals(outcomes, List.of("a refused stopping"));
        ask("b");
        assertEquals(outcomes, List.of("a refused stopping", "b refused stopping"));
        load.recordEnded("running0");
        ask("c");
        assertEquals(outcomes.get(2), "c sent");
    }

    /** Guards against requests that wait although no engine is known, instead of getting the answer for that case. */
    @Test
    public void requestsGoOnWhenNoEngineIsKnown() {
        fill(SLOTS);
        ask("a");
        engines = List.of();
        timers.advance(DeferredRequests.INTERVAL_MILLIS);
        ask("b");
        assertEquals(outcomes, List.of("a sent", "b sent"));
    }
}
