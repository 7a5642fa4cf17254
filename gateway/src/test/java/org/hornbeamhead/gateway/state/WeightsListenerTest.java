package org.hornbeamhead.gateway.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WeightsListenerTest {
    private static final long BOUND = 8_000;
    private static final String KEY = "weights";

    private ManualClock clock;
    private StoreMirror mirror;
    private RoutingState state;
    private WeightsView weights;

    @BeforeMethod
    public void setUp() {
        clock = new ManualClock(1_000_000);
        mirror = new StoreMirror();
        state = new RoutingState();
        weights = new WeightsView(BOUND);
        WeightsListener listener = new WeightsListener(clock, mirror, state, weights);
        mirror.addListener(i -> listener.versionPublished("m", Long.parseLong(i.value()), i.revision()));
    }

    /** Applies one answered read of the store, as the follower does. */
    private void applyRead(StoreChanges changes) {
        mirror.apply(changes);
        state.markCompleteUpTo(clock.monotonicMillis());
    }

    private static StoreChanges publication(long version, long revision) {
        return new StoreChanges(List.of(new StoreItem(KEY, revision, Long.toString(version), false)), revision, false);
    }

    private static StoreChanges noChanges(long revision) {
        return new StoreChanges(List.of(), revision, false);
    }

    @DataProvider
    public Object[][] pauses() {
        return new Object[][] {{40L}, {128L}, {828L}, {1_000L}, {2_600L}};
    }

    /**
     * The routers of a large fleet read the store once a second. If they counted the bound from the read that returned
     * a new version, here 828 ms after its publication, a request could begin 8,001 ms after the newer weights were
     * acknowledged, where 8,000 ms are allowed. The version may be as old as the previous read, which lacked it, so no
     * request may begin later than the bound after that read.
     */
    @Test(dataProvider = "pauses")
    public void boundStartsAtLastReadWithoutTheVersion(long pauseMillis) {
        applyRead(publication(2, 10));
        clock.advance(30_000);
        applyRead(noChanges(20));
        long acknowledged = clock.monotonicMillis() + 1;
        clock.advance(pauseMillis);
        applyRead(publication(3, 21));
        clock.advance(acknowledged + BOUND - clock.monotonicMillis());
        assertTrue(
                weights.usableMillis("m", 2, clock.monotonicMillis()) <= 0,
                "still usable: " + weights.usableMillis("m", 2, clock.monotonicMillis()) + " ms");
        assertEquals(weights.usableMillis("m", 3, clock.monotonicMillis()), Long.MAX_VALUE);
    }

    /**
     * The store loses its history between two reads, and the second read returns version 4 where version 2 was. The
     * publication time of version 3 is unknown; it may be directly after the first read, so the bound must start there.
     */
    @Test
    public void skippedVersionDoesNotExtendTheBound() {
        applyRead(publication(2, 10));
        clock.advance(30_000);
        applyRead(noChanges(20));
        long lastRead = clock.monotonicMillis();
        clock.advance(2_500);
        applyRead(new StoreChanges(List.of(new StoreItem(KEY, 25, "4", false)), 30, true));
        assertTrue(weights.usableMillis("m", 2, lastRead + BOUND) <= 0);
        assertTrue(weights.usableMillis("m", 3, lastRead + BOUND) <= 0);
    }

    /**
     * A router that starts late, or is disconnected from the store at its start, reads a version for the first time. It
     * did not observe the publication, so older weights must be usable only for a short time, until another router
     * reports the publication time.
     */
    @Test
    public void firstReadOnlyEstimatesPublicationTime() {
        clock.advance(7_000);
        applyRead(publication(2, 10));
        long now = clock.monotonicMillis();
        assertTrue(weights.usableMillis("m", 1, now) <= 1_500);
        assertTrue(weights.hasEstimates());
        weights.recordFromPeer(new NamedAge("m", 2, 5_000, false), now);
        WeightsView observer = new WeightsView(BOUND);
        observer.recordPublished("m", 2, now - 5_000);
        assertEquals(weights.usableMillis("m", 1, now), observer.usableMillis("m", 1, now));
    }
}
