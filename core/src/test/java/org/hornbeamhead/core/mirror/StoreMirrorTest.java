package org.hornbeamhead.core.mirror;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StoreMirrorTest {
    private final StoreMirror mirror = new StoreMirror();

    private static StoreItem item(String key, long revision, String value) {
        return new StoreItem(key, revision, value, false);
    }

    private static StoreItem removal(String key, long revision) {
        return new StoreItem(key, revision, "", true);
    }

    private static StoreChanges changes(long revision, StoreItem... items) {
        return new StoreChanges(List.of(items), revision, false);
    }

    private static StoreChanges snapshot(long revision, StoreItem... items) {
        return new StoreChanges(List.of(items), revision, true);
    }

    /**
     * After the removal of a key, a delayed answer or a peer that is behind reports the key as present. It must stay
     * removed, whatever the source and the order of the reports.
     */
    @Test
    public void olderChangesDoNotReplaceNewerOnes() {
        StoreMirror m = new StoreMirror();
        m.apply(changes(5, item("k", 5, "old")));
        m.apply(changes(8, removal("k", 8)));
        m.apply(changes(5, item("k", 5, "old")));
        m.apply(snapshot(6, item("k", 6, "older snapshot")));
        assertTrue(m.get("k").isEmpty());
        assertEquals(m.revision(), 8);
        m.apply(changes(9, item("k", 9, "new")));
        m.apply(changes(7, removal("k", 7)));
        assertEquals(m.get("k").orElseThrow().value(), "new");
    }

    /**
     * The store no longer has its history, so a snapshot is read. Keys that were removed meanwhile are absent from the
     * snapshot and must be removed. Keys that were written after its revision may be absent too, and must stay.
     */
    @Test
    public void snapshotRemovesAbsentKeysUnlessNewer() {
        StoreMirror m = new StoreMirror();
        List<String> events = new ArrayList<>();
        m.apply(changes(4, item("gone", 3, "a"), item("stays", 4, "b")));
        m.apply(changes(12, item("written later", 12, "c")));
        m.addListener(i -> events.add(i.key() + (i.removed() ? " removed" : " set")));
        m.apply(snapshot(10, item("stays", 4, "b"), item("new", 9, "d")));
        assertEquals(events, List.of("new set", "gone removed"));
        assertTrue(m.get("written later").isPresent());
    }

    /**
     * A router loses its connection to the store, and the key of a replica is removed meanwhile. Another router starts
     * afterwards, so its first snapshot lacks the key and it never sees the removal. Its changes must still remove the
     * key at the first router, which would otherwise send requests to the missing replica for as long as it runs.
     */
    @Test
    public void changesFromLaterStartedRouterIncludeUnseenRemovals() {
        StoreMirror disconnected = new StoreMirror();
        disconnected.apply(snapshot(100, item("gone", 50, "a"), item("stays", 60, "b")));
        StoreMirror laterStarted = new StoreMirror();
        laterStarted.apply(snapshot(120, item("stays", 60, "b")));
        laterStarted.apply(changes(125, item("new", 125, "c")));
        disconnected.apply(laterStarted.changesSince(disconnected.revision()));
        assertTrue(disconnected.get("gone").isEmpty());
        assertTrue(disconnected.get("stays").isPresent());
        assertTrue(disconnected.get("new").isPresent());
        assertFalse(
                laterStarted.changesSince(120).snapshot(), "changes after the snapshot must not need another snapshot");
    }

    @Test
    public void changesSinceUpdatesAnotherMirror() {
        StoreMirror m = new StoreMirror();
        m.apply(changes(3, item("a", 1, "x"), item("b", 3, "y")));
        m.apply(changes(4, removal("a", 4)));
        StoreMirror other = new StoreMirror();
        other.apply(m.changesSince(0));
        assertTrue(other.get("a").isEmpty());
        assertEquals(other.revision(), 4);
        m.apply(changes(6, item("c", 5, "z"), removal("b", 6)));
        StoreChanges update = m.changesSince(4);
        assertFalse(update.snapshot());
        assertEquals(update.items().size(), 2);
        other.apply(update);
        assertTrue(other.get("b").isEmpty());
        assertEquals(other.get("c").orElseThrow().value(), "z");
    }

    /**
     * The mirror no longer keeps all removals that a router missed. The router must be sent a snapshot, or it would
     * keep removed keys.
     */
    @Test
    public void sendsSnapshotToRouterFarBehind() {
        StoreMirror m = new StoreMirror();
        LongStream.range(1, 6_000).forEach(r -> m.apply(changes(r, removal("k" + r, r))));
        assertTrue(m.changesSince(10).snapshot());
        assertFalse(m.changesSince(5_990).snapshot());
    }

    @Test
    public void listsItemsWithPrefix() {
        mirror.apply(changes(3, item("a/1", 1, ""), item("a/2", 2, ""), item("b/1", 3, "")));
        assertEquals(mirror.withPrefix("a/").size(), 2);
    }

    /** Reads the stamp of a value such as "100 a 7 text": the start, the origin and the sequence number. */
    private static Optional<WriterStamp> stamp(StoreItem item) {
        String[] parts = item.value().split(" ", -1);
        return Optional.of(new WriterStamp(Long.parseLong(parts[0]), parts[1], Long.parseLong(parts[2])));
    }

    @DataProvider
    public Object[][] writesInOrder() {
        return new Object[][] {
            {"100 a 7", "100 a 6", "100 a 7"},
            {"0 a 7", "0 a 6", "0 a 7"},
            {"100 a 7", "90 a 8", "100 a 7"},
            {"100 a 7", "100 a 8", "100 a 8"},
            {"100 a 7", "110 a 1", "110 a 1"},
            {"100 a 7", "100 b 1", "100 b 1"},
            {"100 a 7", "0 a 1", "0 a 1"},
            {"100 a 7", "100 a 7", "100 a 7"},
        };
    }

    /** Guards against an older value of a writer that the store carries out late, whatever happened to the key. */
    @Test(dataProvider = "writesInOrder")
    public void stampsOrderTheValuesOfOneWriter(String first, String second, String expected) {
        StoreMirror m = new StoreMirror(StoreMirrorTest::stamp);
        m.apply(changes(5, item("k", 5, first)));
        m.apply(changes(9, item("k", 9, second)));
        assertEquals(m.get("k").orElseThrow().value(), expected);
        StoreMirror removed = new StoreMirror(StoreMirrorTest::stamp);
        removed.apply(changes(5, item("k", 5, first)));
        removed.apply(changes(7, removal("k", 7)));
        removed.apply(snapshot(9, item("k", 9, second)));
        assertEquals(removed.get("k").isPresent(), !expected.equals(first) || first.equals(second));
    }

    /** Guards against a router that read a late write only, and ignores the newer value that another router has. */
    @Test
    public void newerValueOfAWriterReplacesALateWrite() {
        StoreMirror laterStarted = new StoreMirror(StoreMirrorTest::stamp);
        laterStarted.apply(snapshot(9, item("k", 9, "100 a 6")));
        laterStarted.apply(changes(9, item("k", 5, "100 a 7")));
        assertEquals(laterStarted.get("k"), Optional.of(item("k", 9, "100 a 7")));
    }
}
