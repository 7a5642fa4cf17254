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
     * If the router is wrong about the age of its view, callers get answers on superseded weights, or requests are
     * returned to them long before the bound. A request that is answered at once proves the view up to the time of its
     * sending. One that waited was answered just now, because the store answers with the first change.
     */
    @Test(dataProvider = "answerDelays")
    public void answerSetsCompleteUpTo(long waitMillis, long provenMillis) {
        start(millis -> {});
        timers.advance(waitMillis);
        store.answer.set(new StoreChanges(List.of(), 5, true));
        assertEquals(state.completeUpTo(), 10_000);
        long sent = awaitRequest();
        timers.advance(waitMillis);
        store.answer.set(new StoreChanges(List.of(), 6, false));
        assertEquals(state.completeUpTo(), sent + provenMillis);
    }

    /**
     * In a store where nothing else changes, a request waits for two seconds without a change, and the next one is
     * answered when a version is published. The version must count from that answer, not from the previous request.
     * Otherwise five of the eight seconds for which superseded weights may be used would be lost, and requests would be
     * returned to callers.
     */
    @Test
    public void versionEndingAWaitCountsFromTheAnswer() {
        start(millis -> {});
        WeightsView weights = new WeightsView(8_000);
        WeightsListener listener = new WeightsListener(clock, mirror, state, weights);
        mirror.addListener(i -> listener.versionPublished("m", Long.parseLong(i.value()), i.revision()));
        store.answer.set(new StoreChanges(List.of(new StoreItem("w", 4, "1", false)), 5, true));
        awaitRequest();
        timers.advance(2_000);
        store.answer.set(new StoreChanges(List.of(), 5, false));
        clock.advance(1_000);
        awaitRequest();
        timers.advance(1_900);
        store.answer.set(new StoreChanges(List.of(new StoreItem("w", 6, "2", false)), 6, false));
        long left = weights.usableMillis("m", 1, clock.monotonicMillis());
        assertTrue(left > 7_000 && left < 8_000, "left: " + left);
    }

    @DataProvider
    public Object[][] readingOrders() {
        return new Object[][] {{false}, {true}};
    }

    /**
     * Guards against requests that begin on superseded weights seconds after the bound, since an answer that lay unread
     * while the process was frozen is taken for a fresh one.
     */
    @Test(dataProvider = "readingOrders")
    public void answerReadAfterAFreezeProvesNothingOfIt(boolean timersFirst) {
        start(millis -> {});
        store.answer.set(new StoreChanges(List.of(), 5, true));
        long sent = awaitRequest();
        timers.advance(400);
        clock.advance(7_000);
        if (timersFirst) {
            timers.advance(1);
        }
        store.answer.set(new StoreChanges(List.of(), 6, false));
        assertTrue(state.completeUpTo() <= sent + 400, "complete up to " + (state.completeUpTo() - sent));
    }

    /**
     * The machine is suspended while a request waits, and the answer stays in its buffer. Changes accepted meanwhile
     * are not in the answer, so it must prove nothing after its request, which is older by the suspension. It must not
     * be used to permanently reject a caller whose key was added meanwhile.
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

    private void start(LongConsumer onSuspended) {
        clock = new ManualClock(1_000_000);
        timers = new ManualTimers(clock);
        clock.advance(10_000);
        state = new RoutingState();
        mirror = new StoreMirror();
        store = new PendingStore();
        SuspensionDetector detector = new SuspensionDetector(new ManualTimers(clock), clock, onSuspended);
        RouterEntry self = new RouterEntry("n", "", "", "", "d", 1, 0);
        ReaderClient readers = new ReaderClient(clock, () -> List.of(self), "n", (peer, after, wait) -> {
            throw new AssertionError("a reader must not query other routers");
        });
        MirrorUpdater updater = new MirrorUpdater(clock, mirror, state, new WeightsView(8_000), detector);
        follower = new StoreFollower(new StoreFollower.Dependencies(
                timers, clock, new Random(1), store, mirror, state, detector, () -> 1, readers, updater));
        follower.start();
    }

    /** Lets the follower send its next request, and returns the time of sending. */
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
     * A replica leaves without notice, and its entry is removed while a single waiting read of a router is cut off. The
     * removal in the next read must take effect at once, or the router would send requests to the replica for two more
     * seconds. After an outage that is long enough for entries to expire, the router must wait for them to be listed
     * again.
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
     * Replicas renew their entries continuously, so each waiting read ends at once and every router reads again. Each
     * call is billed, and above the rate limit of the store callers are served from outdated entries. Up to 84 routers
     * together must stay far below 6,000 reads a second.
     */
    @Test(dataProvider = "fleetSizes")
    public void totalReadRateIsBounded(int routers, long millis) {
        assertTrue(routers * 1_000L / millis <= Math.max(64, routers), "reads a second");
    }
}
