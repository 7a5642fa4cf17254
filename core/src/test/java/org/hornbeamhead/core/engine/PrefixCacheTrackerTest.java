package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

public class PrefixCacheTrackerTest {
    private static final long NOW = 50_000;
    private static final long PREFIX = 7;

    @Test
    public void prefixIsInStoreOncePrefilled() {
        PrefixCacheTracker tracker = new PrefixCacheTracker(false);
        tracker.recordSent(PREFIX, "e", NOW + 500);
        assertFalse(tracker.isInStore(PREFIX, true, NOW + 400));
        assertTrue(tracker.isInStore(PREFIX, true, NOW + 700));
        assertTrue(tracker.isCachedAt(PREFIX, "e", NOW + 700));
        assertFalse(tracker.isCachedAt(PREFIX, "e", NOW + 5_000), "the engine should have evicted it");
    }

    @Test
    public void engineIsSourceWhileItHoldsPrefix() {
        PrefixCacheTracker tracker = new PrefixCacheTracker(false);
        tracker.recordSent(PREFIX, "e", NOW);
        assertEquals(tracker.findHolder(PREFIX, e -> true, NOW + 1_000), Optional.of("e"));
        assertEquals(tracker.findHolder(PREFIX, e -> false, NOW + 1_000), Optional.empty());
        assertEquals(tracker.findHolder(PREFIX, e -> true, NOW + 3_000), Optional.empty());
    }

    @Test
    public void prefixIsSavedOncePerFifteenSeconds() {
        PrefixCacheTracker tracker = new PrefixCacheTracker(false);
        assertTrue(tracker.shouldSave(PREFIX, NOW));
        tracker.recordSaved(PREFIX, NOW);
        assertFalse(tracker.shouldSave(PREFIX, NOW + 10_000));
        assertTrue(tracker.shouldSave(PREFIX, NOW + 16_000));
    }

    /** After a restart, prefixes in use before count as stored, but not those of weights that were just named. */
    @Test
    public void restartAssumesOnlyWarmWeightsInStore() {
        PrefixCacheTracker tracker = new PrefixCacheTracker(true);
        assertTrue(tracker.isInStore(PREFIX, true, NOW));
        assertTrue(tracker.shouldSave(PREFIX, NOW), "some prefixes may be missing");
        assertFalse(tracker.isInStore(PREFIX, false, NOW));
        assertFalse(tracker.isInStore(PREFIX, true, NOW + 20_000));
    }

    @Test
    public void storeLinkTransfersFetchesInSequence() {
        PrefixCacheTracker tracker = new PrefixCacheTracker(false);
        tracker.recordFetch("s1", 30, NOW);
        tracker.recordFetch("s1", 30, NOW);
        assertEquals(tracker.storeWaitMillis("s1", NOW + 10), 50, 0.1);
        assertEquals(tracker.storeWaitMillis("s1", NOW + 100), 0, 0.1);
        assertEquals(tracker.storeWaitMillis("s2", NOW), 0, 0.1);
        tracker.recordFetch("s1", 30, NOW + 1_000);
        assertEquals(tracker.storeWaitMillis("s1", NOW + 1_000), 30, 0.1);
    }
}
