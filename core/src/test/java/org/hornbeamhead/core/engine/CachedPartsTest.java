package org.hornbeamhead.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

public class CachedPartsTest {
    private static final long NOW = 50_000;
    private static final long BEGINNING = 7;

    @Test
    public void aBeginningIsKeptOnceItHasBeenRead() {
        CachedParts parts = new CachedParts(false);
        parts.sent(BEGINNING, "e", NOW + 500);
        assertFalse(parts.kept(BEGINNING, true, NOW + 400));
        assertTrue(parts.kept(BEGINNING, true, NOW + 700));
        assertTrue(parts.atEngine(BEGINNING, "e", NOW + 700));
        assertFalse(parts.atEngine(BEGINNING, "e", NOW + 5_000), "the engine's memory has turned over");
    }

    @Test
    public void anEngineIsAskedWhileItSurelyHoldsABeginning() {
        CachedParts parts = new CachedParts(false);
        parts.sent(BEGINNING, "e", NOW);
        assertEquals(parts.holder(BEGINNING, e -> true, NOW + 1_000), Optional.of("e"));
        assertEquals(parts.holder(BEGINNING, e -> false, NOW + 1_000), Optional.empty());
        assertEquals(parts.holder(BEGINNING, e -> true, NOW + 3_000), Optional.empty());
    }

    @Test
    public void oneRequestInFifteenSecondsSavesABeginning() {
        CachedParts parts = new CachedParts(false);
        assertTrue(parts.saveNow(BEGINNING, NOW));
        parts.saved(BEGINNING, NOW);
        assertFalse(parts.saveNow(BEGINNING, NOW + 10_000));
        assertTrue(parts.saveNow(BEGINNING, NOW + 16_000));
    }

    /** After a restart what was in use before counts as kept, but not what belongs to weights that were just named. */
    @Test
    public void aRestartTakesOverOnlyWhatIsSettled() {
        CachedParts parts = new CachedParts(true);
        assertTrue(parts.kept(BEGINNING, true, NOW));
        assertTrue(parts.saveNow(BEGINNING, NOW), "some of it may not be there");
        assertFalse(parts.kept(BEGINNING, false, NOW));
        assertFalse(parts.kept(BEGINNING, true, NOW + 20_000));
    }

    @Test
    public void theLinkOfTheStoreIsBusyWithOneFetchAfterTheOther() {
        CachedParts parts = new CachedParts(false);
        parts.fetching("s1", 30, NOW);
        parts.fetching("s1", 30, NOW);
        assertEquals(parts.storeWaitMillis("s1", NOW + 10), 50, 0.1);
        assertEquals(parts.storeWaitMillis("s1", NOW + 100), 0, 0.1);
        assertEquals(parts.storeWaitMillis("s2", NOW), 0, 0.1);
        parts.fetching("s1", 30, NOW + 1_000);
        assertEquals(parts.storeWaitMillis("s1", NOW + 1_000), 30, 0.1);
    }
}
