package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.function.LongConsumer;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StoreFollowerTest {
    private ManualClock clock;
    private ManualTimers timers;
    private RoutingState state;
    private StoreMirror mirror;
    private PendingStore store;
    private StoreFollower follower;

    private static final class PendingStore implements ReadOnlyStore {
        private SettablePromise<StoreChanges> answer;
        private boolean requested;

        @Override
        public Promise<StoreChanges> readAll() {
            answer = new SettablePromise<>();
            requested = true;
            return answer;
        }

        @Override
        public Promise<StoreChanges> watch(long after, Duration wait) {
            return readAll();
        }
    }

    @DataProvider
    public Object[][] answerDelays() {
        return new Object[][] {{4L, 0L}, {150L, 0L}, {700L, 500L}, {2_000L, 1_800L}};
    }

    /**
     * Callers get answers on replaced weights, or are given back long before the bound: either way the router has a
     * wrong idea of how old its view is. A question that is answered at once proves the time of its sending. One that
     * waited was answered just now, since the store answers with the first change.
     */
    @Test(dataProvider = "answerDelays")
    public void answerSetsCompleteUpTo(long waitMillis, long provenMillis) {
        start(millis -> {});
        clock.advance(waitMillis);
        store.answer.set(new StoreChanges(List.of(), 5, true));
        assertEquals(state.completeUpTo(), 10_000);
        long sent = awaitRequest();
        clock.advance(waitMillis);
        store.answer.set(new StoreChanges(List.of(), 6, false));
        assertEquals(state.completeUpTo(), sent + provenMillis);
    }

    /**
     * In a store where nothing else changes a question waits for two seconds in vain, and the next one is answered when
     * a name comes. The name is as new as that answer, not as old as the question before: else five of the eight
     * seconds for which replaced weights may be used are lost, and callers are given back.
     */
    @Test
    public void versionEndingAWaitCountsFromTheAnswer() {
        start(millis -> {});
        WeightsView weights = new WeightsView(8_000);
        WeightsListener listener = new WeightsListener(clock, mirror, state, weights);
        mirror.addListener(i -> listener.versionPublished("m", Long.parseLong(i.value()), i.revision()));
        store.answer.set(new StoreChanges(List.of(new StoreItem("w", 4, "1", false)), 5, true));
        awaitRequest();
        clock.advance(2_000);
        store.answer.set(new StoreChanges(List.of(), 5, false));
        clock.advance(1_000);
        awaitRequest();
        clock.advance(1_900);
        store.answer.set(new StoreChanges(List.of(new StoreItem("w", 6, "2", false)), 6, false));
        long left = weights.usableMillis("m", 1, clock.monotonicMillis());
        assertTrue(left > 7_000 && left < 8_000, "left: " + left);
    }

    /**
     * The machine stands still while a question waits, and the answer lies in its buffer. What was accepted meanwhile
     * is not in it: it proves nothing later than its question, and that is as much longer ago. Nor may a caller with a
     * key that was given meanwhile be denied for good on the strength of it.
     */
    @Test
    public void answerBufferedDuringSuspensionProvesNothing() {
        start(millis -> state.addSuspendedTime(millis, clock.monotonicMillis()));
        store.answer.set(new StoreChanges(List.of(), 5, true));
        long sent = awaitRequest();
        clock.advance(900);
        clock.skewWall(5_000);
        store.answer.set(new StoreChanges(List.of(), 6, false));
        assertTrue(state.completeUpTo() <= sent - 5_000, "proven at " + state.completeUpTo());
        assertFalse(state.isFresh(clock.monotonicMillis()));
    }

    private void start(LongConsumer stoodStill) {
        clock = new ManualClock(1_000_000);
        timers = new ManualTimers(clock);
        clock.advance(10_000);
        state = new RoutingState();
        mirror = new StoreMirror();
        store = new PendingStore();
        SuspensionDetector watch = new SuspensionDetector(new ManualTimers(clock), clock, stoodStill);
        RouterEntry self = new RouterEntry("n", "", "", "", "d", 1, 0);
        ReaderClient readers = new ReaderClient(clock, () -> List.of(self), "n", (peer, after, wait) -> {
            throw new AssertionError("a reader asks no other router");
        });
        MirrorUpdater intake = new MirrorUpdater(clock, mirror, state, new WeightsView(8_000), watch);
        follower = new StoreFollower(new StoreFollower.Parts(
                timers, clock, new Random(1), store, mirror, state, watch, () -> 1, readers, intake));
        follower.start();
    }

    /** Lets the follower send its next question. */
    private long awaitRequest() {
        store.requested = false;
        while (!store.requested) {
            timers.advance(1);
        }
        return clock.monotonicMillis();
    }

    @DataProvider
    public Object[][] outages() {
        return new Object[][] {{100L, 0L}, {700L, 0L}, {2_600L, 2_000L}, {9_000L, 2_000L}};
    }

    /**
     * A replica leaves without a word; its entry is removed while one waiting read of a router was cut. The router must
     * believe the removal that comes with its next read at once, or it sends requests to the replica for two seconds
     * more. After an outage that is long enough for entries to lapse it waits for them to come back.
     */
    @Test(dataProvider = "outages")
    public void onlyOutagesThatExpireEntriesDelayRemovals(long awayMillis, long waitMillis) {
        start(millis -> {});
        store.answer.set(new StoreChanges(List.of(), 5, true));
        awaitRequest();
        store.answer.setException(new StoreUnavailableException("cut"));
        clock.advance(awayMillis);
        assertTrue(follower.isDisconnected());
        assertEquals(follower.relistMillis(), waitMillis);
        awaitRequest();
        store.answer.set(new StoreChanges(List.of(), 6, false));
        assertEquals(follower.relistMillis(), waitMillis);
        clock.advance(2_000);
        assertEquals(follower.relistMillis(), 0);
    }

    @DataProvider
    public Object[][] fleetSizes() {
        return new Object[][] {{1, 40}, {2, 40}, {8, 128}, {63, 1_000}, {610, 1_000}};
    }

    @Test(dataProvider = "fleetSizes")
    public void batchDelayGrowsWithRouters(int routers, long millis) {
        assertEquals(StoreFollower.batchMillis(routers), millis);
    }

    /**
     * Replicas renew their entries all the time, so each waiting read ends at once, and every router reads again. The
     * operators pay for each call, and beyond the store's rate callers are served on old entries: up to 84 routers
     * together must stay far below 6,000 reads a second.
     */
    @Test(dataProvider = "fleetSizes")
    public void totalReadRateIsBounded(int routers, long millis) {
        assertTrue(routers * 1_000L / millis <= Math.max(64, routers), "calls a second");
    }
}
