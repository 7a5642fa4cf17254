package org.hornbeamhead.core.mirror;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a reader of the store tells the routers that wait at it: every change but those of which nobody has any use.
 *
 * <p>Failure: replicas renew their entries all the time, and each renewal is passed on to each router. Symptom: every
 * wait ends at once, and the work of each router grows with the replicas. A renewal that changes nothing is left out; a
 * key is told as of its last change that matters, so that no change is ever hidden behind a renewal.
 *
 * <p>Owned by one thread.
 */
public final class ToldChanges {
    private final StoreMirror mirror;
    private final Map<String, Long> changedAt = new HashMap<>();
    private long newest;

    /**
     * Makes a view of a mirror.
     *
     * @param mirror the mirror
     */
    public ToldChanges(StoreMirror mirror) {
        this.mirror = mirror;
    }

    /**
     * Notes a change that matters. It is called for each change of the mirror that is no mere renewal.
     *
     * @param item the changed item
     */
    public void changed(StoreItem item) {
        changedAt.put(item.key(), item.revision());
        newest = Math.max(newest, item.revision());
        if (changedAt.size() > 2 * (mirror.size() + StoreMirror.MAX_REMOVALS)) {
            changedAt.keySet().removeIf(k -> !mirror.remembers(k));
        }
    }

    /**
     * Tells whether a router has to hear something.
     *
     * @param after the revision that it has
     * @return whether a change that matters came later, or so much that it needs everything
     */
    public boolean hasNewsFor(long after) {
        return newest > after || mirror.isTooFarBehind(after);
    }

    /**
     * Tells a router what changed.
     *
     * @param after the revision that it has
     * @return the changes that matter, or everything when it is too far behind
     */
    public StoreChanges since(long after) {
        if (!hasNewsFor(after)) {
            return new StoreChanges(List.of(), mirror.revision(), false);
        }
        StoreChanges all = mirror.since(after);
        return all.whole()
                ? all
                : new StoreChanges(
                        all.items().stream().filter(i -> matters(i, after)).toList(), all.revision(), false);
    }

    private boolean matters(StoreItem item, long after) {
        return item.removed() || changedAt.getOrDefault(item.key(), item.revision()) > after;
    }
}
