package org.hornbeamhead.core.mirror;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One process's copy of the platform's store, fed by the store itself or by other routers that read it.
 *
 * <p>Failure: an answer that was overtaken on its way, a read that may be seconds old, or a peer that is behind tells
 * an older state after a newer one. Symptom: a key that was taken away works again, or a route jumps back. Each key
 * keeps the revision of its last change, removals included, and anything older is dropped, so that no source can take
 * the mirror back.
 *
 * <p>Owned by one thread.
 */
public final class StoreMirror {
    /**
     * Removals that are remembered, so that other routers can be told of them. Bounds the memory to about 1 MB; a peer
     * further behind is sent everything.
     */
    static final int MAX_REMOVALS = 4_096;

    private final Map<String, StoreItem> items = new TreeMap<>();
    private final Map<String, StoreItem> removals = new HashMap<>();
    private final List<Consumer<StoreItem>> listeners = new ArrayList<>();
    private long revision;
    private long forgottenUpTo;
    /**
     * Removals before the last listing are not known, only absent from it. A router that is further behind and was told
     * of later changes alone would keep what is gone for as long as it lives; it is told everything.
     */
    private long listedAt;

    /**
     * Adds a listener to each change of a key.
     *
     * @param listener called with the new item, in the order of revisions
     */
    public void listen(Consumer<StoreItem> listener) {
        listeners.add(listener);
    }

    /**
     * Takes in what a source tells.
     *
     * @param changes the changes
     * @return whether the mirror is further than before
     */
    public boolean apply(StoreChanges changes) {
        boolean further = changes.revision() > revision;
        changes.items().stream()
                .sorted(Comparator.comparingLong(StoreItem::revision))
                .forEach(this::apply);
        if (changes.whole()) {
            removeAbsent(changes);
            listedAt = Math.max(listedAt, changes.revision());
        }
        revision = Math.max(revision, changes.revision());
        return further;
    }

    private void apply(StoreItem item) {
        if (item.revision() <= lastChange(item.key())) {
            return;
        }
        if (item.removed()) {
            items.remove(item.key());
            remember(item);
        } else {
            removals.remove(item.key());
            items.put(item.key(), item);
        }
        listeners.forEach(l -> l.accept(item));
    }

    private long lastChange(String key) {
        StoreItem present = items.get(key);
        if (present != null) {
            return present.revision();
        }
        StoreItem removed = removals.get(key);
        return removed == null ? forgottenUpTo : removed.revision();
    }

    /** A key written after the listing's revision may be missing from it without being gone. */
    private void removeAbsent(StoreChanges all) {
        Set<String> present = all.items().stream().map(StoreItem::key).collect(Collectors.toSet());
        List<StoreItem> gone = items.values().stream()
                .filter(i -> !present.contains(i.key()) && i.revision() <= all.revision())
                .toList();
        gone.forEach(i -> apply(new StoreItem(i.key(), Math.max(all.revision(), i.revision() + 1), "", true)));
    }

    private void remember(StoreItem removal) {
        removals.put(removal.key(), removal);
        if (removals.size() > MAX_REMOVALS) {
            StoreItem oldest = removals.values().stream()
                    .min(Comparator.comparingLong(StoreItem::revision))
                    .orElseThrow();
            removals.remove(oldest.key());
            forgottenUpTo = Math.max(forgottenUpTo, oldest.revision());
        }
    }

    /**
     * Tells another router what changed.
     *
     * @param after the revision that it has
     * @return the changes since then, or everything when it is too far behind
     */
    public StoreChanges since(long after) {
        if (isTooFarBehind(after)) {
            return new StoreChanges(List.copyOf(items.values()), revision, true);
        }
        List<StoreItem> changed = Stream.concat(items.values().stream(), removals.values().stream())
                .filter(i -> i.revision() > after)
                .toList();
        return new StoreChanges(changed, revision, false);
    }

    /** Whether another router cannot be told of changes alone. */
    boolean isTooFarBehind(long after) {
        return after == 0 || after < forgottenUpTo || after < listedAt;
    }

    boolean remembers(String key) {
        return items.containsKey(key) || removals.containsKey(key);
    }

    int size() {
        return items.size();
    }

    /**
     * Finds a present item.
     *
     * @param key its key
     * @return the item, empty when the key is absent
     */
    public Optional<StoreItem> get(String key) {
        return Optional.ofNullable(items.get(key));
    }

    /**
     * Lists the present items whose keys begin alike.
     *
     * @param prefix the beginning
     * @return the items in the order of their keys
     */
    public List<StoreItem> under(String prefix) {
        return items.values().stream().filter(i -> i.key().startsWith(prefix)).toList();
    }

    /**
     * Returns the store's revision up to which the mirror is whole.
     *
     * @return the revision, 0 before the first listing
     */
    public long revision() {
        return revision;
    }
}
