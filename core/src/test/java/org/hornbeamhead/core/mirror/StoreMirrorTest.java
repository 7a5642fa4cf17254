package org.hornbeamhead.core.mirror;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

public class StoreMirrorTest {
    private final StoreMirror mirror = new StoreMirror();

    private static StoreItem item(String key, long revision, String value) {
        return new StoreItem(key, revision, value, false);
    }

    private static StoreItem removal(String key, long revision) {
        return new StoreItem(key, revision, "", true);
    }

    private static StoreChanges some(long revision, StoreItem... items) {
        return new StoreChanges(List.of(items), revision, false);
    }

    private static StoreChanges all(long revision, StoreItem... items) {
        return new StoreChanges(List.of(items), revision, true);
    }

    /**
     * A key is taken away. Then an answer that was sent before arrives late, or a peer that is behind tells what it
     * knows. The key must stay away, whoever tells of it and in whatever order.
     */
    @Test
    public void nothingOlderUndoesANewerChange() {
        StoreMirror m = new StoreMirror();
        m.apply(some(5, item("k", 5, "old")));
        m.apply(some(8, removal("k", 8)));
        m.apply(some(5, item("k", 5, "old")));
        m.apply(all(6, item("k", 6, "older listing")));
        assertTrue(m.get("k").isEmpty());
        assertEquals(m.revision(), 8);
        m.apply(some(9, item("k", 9, "new")));
        m.apply(some(7, removal("k", 7)));
        assertEquals(m.get("k").orElseThrow().value(), "new");
    }

    /**
     * The store lost its history, so everything is read again. What was removed meanwhile is only missing from the
     * listing; what was written after the listing began may be missing too and must stay.
     */
    @Test
    public void aListingRemovesWhatItLacksUnlessItIsNewer() {
        StoreMirror m = new StoreMirror();
        List<String> heard = new ArrayList<>();
        m.apply(some(4, item("gone", 3, "a"), item("stays", 4, "b")));
        m.apply(some(12, item("written later", 12, "c")));
        m.listen(i -> heard.add(i.key() + (i.removed() ? " removed" : " set")));
        m.apply(all(10, item("stays", 4, "b"), item("new", 9, "d")));
        assertEquals(heard, List.of("new set", "gone removed"));
        assertTrue(m.get("written later").isPresent());
    }

    /**
     * Requests go to a replica that is gone, for as long as a router lives. The store turns the router away; the
     * replica's key is removed; another router starts after that, so that its first listing lacks the key and tells of
     * no removal. What it tells the first router must take the key away there, too.
     */
    @Test
    public void aRouterThatStartedLaterTellsOfRemovalsThatItNeverSaw() {
        StoreMirror turnedAway = new StoreMirror();
        turnedAway.apply(all(100, item("gone", 50, "a"), item("stays", 60, "b")));
        StoreMirror startedLater = new StoreMirror();
        startedLater.apply(all(120, item("stays", 60, "b")));
        startedLater.apply(some(125, item("new", 125, "c")));
        turnedAway.apply(startedLater.since(turnedAway.revision()));
        assertTrue(turnedAway.get("gone").isEmpty());
        assertTrue(turnedAway.get("stays").isPresent());
        assertTrue(turnedAway.get("new").isPresent());
        assertFalse(startedLater.since(120).whole(), "what came after the listing needs no whole one");
    }

    @Test
    public void tellsAnotherRouterWhatChanged() {
        StoreMirror m = new StoreMirror();
        m.apply(some(3, item("a", 1, "x"), item("b", 3, "y")));
        m.apply(some(4, removal("a", 4)));
        StoreMirror other = new StoreMirror();
        other.apply(m.since(0));
        assertTrue(other.get("a").isEmpty());
        assertEquals(other.revision(), 4);
        m.apply(some(6, item("c", 5, "z"), removal("b", 6)));
        StoreChanges news = m.since(4);
        assertFalse(news.whole());
        assertEquals(news.items().size(), 2);
        other.apply(news);
        assertTrue(other.get("b").isEmpty());
        assertEquals(other.get("c").orElseThrow().value(), "z");
    }

    /**
     * A router was away for longer than removals are remembered: it is sent everything, so that nothing stays behind.
     */
    @Test
    public void aRouterFarBehindIsSentEverything() {
        StoreMirror m = new StoreMirror();
        LongStream.range(1, 6_000).forEach(r -> m.apply(some(r, removal("k" + r, r))));
        assertTrue(m.since(10).whole());
        assertFalse(m.since(5_990).whole());
    }

    @Test
    public void listsByPrefix() {
        mirror.apply(some(3, item("a/1", 1, ""), item("a/2", 2, ""), item("b/1", 3, "")));
        assertEquals(mirror.under("a/").size(), 2);
    }
}
