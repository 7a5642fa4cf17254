package org.hornbeamhead.core.mirror;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * An in-memory copy of the platform's store, updated from the store itself or from other routers that read it.
 *
 * <p>Answers can arrive out of order, a read may be seconds old, and a peer may be behind. If an older state replaced a
 * newer one, a removed key would become valid again or a route would revert. The mirror therefore keeps the revision of
 * the last change of each key, including removals, and ignores older changes from any source.
 *
 * <p>The store itself may carry out a write late, so that an older value gets a newer revision. Of two values that bear
 * stamps of their writer the stamps decide, also after the key was removed.
 *
 * <p>Not thread-safe.
 */
public final class StoreMirror {
    /**
     * Maximum number of removals that are kept so that other routers can be informed of them. This bounds the memory to
     * about 1 MB. A peer that needs older removals is sent a snapshot.
     */
    static final int MAX_TOMBSTONES = 4_096;

    private final Map<String, StoreItem> items = new TreeMap<>();
    private final Map<String, StoreItem> tombstones = new HashMap<>();
    private final List<Consumer<StoreItem>> listeners = new ArrayList<>();
    private final WriterStampReader stampReader;
    private final Map<String, WriterStamp> stamps = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, WriterStamp> eldest) {
            return size() > items.size() + MAX_TOMBSTONES;
        }
    };
    private long revision;
    private long lastDroppedRevision;
    /**
     * Revision of the last applied snapshot. Removals before it are unknown: the keys are merely absent from the
     * snapshot. A router with an older revision would keep such keys forever if it were sent only later changes, so it
     * is sent a snapshot.
     */
    private long snapshotRevision;

    /** Creates an empty mirror of a store whose items bear no stamps. */
    public StoreMirror() {
        this(item -> Optional.empty());
    }

    /**
     * Creates an empty mirror.
     *
     * @param stampReader reads the stamps of the items
     */
    public StoreMirror(WriterStampReader stampReader) {
        this.stampReader = stampReader;
    }

    /**
     * Adds a listener that is called for each change of a key.
     *
     * @param listener receives the changed items; the items of one update are in the order of their revisions, followed
     *     by the keys that a snapshot removes
     */
    public void addListener(Consumer<StoreItem> listener) {
        listeners.add(listener);
    }

    /**
     * Applies changes or a snapshot to the mirror.
     *
     * @param changes the changes
     * @return whether the revision of the mirror has advanced
     */
    public boolean apply(StoreChanges changes) {
        boolean advanced = changes.revision() > revision;
        changes.items().stream()
                .sorted(Comparator.comparingLong(StoreItem::revision))
                .forEach(this::applyItem);
        if (changes.snapshot()) {
            removeAbsent(changes);
            snapshotRevision = Math.max(snapshotRevision, changes.revision());
        }
        revision = Math.max(revision, changes.revision());
        return advanced;
    }

    private void applyItem(StoreItem item) {
        if (item.removed()) {
            applyRemoval(item);
        } else {
            applyValue(item);
        }
    }

    private void applyRemoval(StoreItem item) {
        if (item.revision() > lastChangeRevision(item.key())) {
            items.remove(item.key());
            addTombstone(item);
            listeners.forEach(l -> l.accept(item));
        }
    }

    private void applyValue(StoreItem item) {
        Optional<WriterStamp> stamp = stampReader.read(item);
        WriterStamp known = stamps.get(item.key());
        int order = stamp.filter(s -> known != null)
                .flatMap(s -> s.compareWith(known))
                .orElse(0);
        long lastRevision = lastChangeRevision(item.key());
        boolean outdatedRevision = item.revision() <= lastRevision;
        if (order < 0 || (outdatedRevision && !(order > 0 && items.containsKey(item.key())))) {
            return;
        }
        stamp.ifPresent(s -> stamps.put(item.key(), s));
        StoreItem applied = new StoreItem(item.key(), Math.max(item.revision(), lastRevision), item.value(), false);
        tombstones.remove(item.key());
        items.put(item.key(), applied);
        listeners.forEach(l -> l.accept(applied));
    }

    private long lastChangeRevision(String key) {
        StoreItem item = items.get(key);
        if (item != null) {
            return item.revision();
        }
        StoreItem tombstone = tombstones.get(key);
        return tombstone == null ? lastDroppedRevision : tombstone.revision();
    }

    /** Removes the keys that a snapshot lacks. Keys written after its revision stay: they may be missing from it. */
    private void removeAbsent(StoreChanges snapshot) {
        Set<String> presentKeys = snapshot.items().stream().map(StoreItem::key).collect(Collectors.toSet());
        List<StoreItem> absent = items.values().stream()
                .filter(i -> !presentKeys.contains(i.key()) && i.revision() <= snapshot.revision())
                .toList();
        absent.forEach(
                i -> applyItem(new StoreItem(i.key(), Math.max(snapshot.revision(), i.revision() + 1), "", true)));
    }

    private void addTombstone(StoreItem tombstone) {
        tombstones.put(tombstone.key(), tombstone);
        if (tombstones.size() > MAX_TOMBSTONES) {
            StoreItem oldest = tombstones.values().stream()
                    .min(Comparator.comparingLong(StoreItem::revision))
                    .orElseThrow();
            tombstones.remove(oldest.key());
            lastDroppedRevision = Math.max(lastDroppedRevision, oldest.revision());
        }
    }

    /**
     * Returns the changes that another router lacks.
     *
     * @param after the revision of the other router
     * @return the changes after that revision, or a snapshot if the router is too far behind
     */
    public StoreChanges changesSince(long after) {
        if (needsSnapshot(after)) {
            return new StoreChanges(List.copyOf(items.values()), revision, true);
        }
        List<StoreItem> changed = Stream.concat(items.values().stream(), tombstones.values().stream())
                .filter(i -> i.revision() > after)
                .toList();
        return new StoreChanges(changed, revision, false);
    }

    /** Returns whether a router at the given revision has to be sent a snapshot instead of changes. */
    boolean needsSnapshot(long after) {
        return after == 0 || after < lastDroppedRevision || after < snapshotRevision;
    }

    boolean isTracked(String key) {
        return items.containsKey(key) || tombstones.containsKey(key);
    }

    int size() {
        return items.size();
    }

    /**
     * Returns the item of a key.
     *
     * @param key the key
     * @return the item, or empty if the key is absent
     */
    public Optional<StoreItem> get(String key) {
        return Optional.ofNullable(items.get(key));
    }

    /**
     * Returns the existing items whose keys start with a prefix.
     *
     * @param prefix the prefix
     * @return the items in key order
     */
    public List<StoreItem> withPrefix(String prefix) {
        return items.values().stream().filter(i -> i.key().startsWith(prefix)).toList();
    }

    /**
     * Returns the revision of the store up to which the mirror is complete.
     *
     * @return the revision, or 0 before the first snapshot
     */
    public long revision() {
        return revision;
    }
}
