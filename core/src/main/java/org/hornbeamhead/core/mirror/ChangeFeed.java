package org.hornbeamhead.core.mirror;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The changes that a reader of the store reports to the routers waiting for it, without irrelevant ones.
 *
 * <p>Replicas renew their entries continuously. If each renewal were forwarded to each router, every wait would end at
 * once and the load of each router would grow with the number of replicas. Renewals that change nothing are left out. A
 * key is reported if it had a relevant change after the requested revision, even if a later renewal rewrote it.
 *
 * <p>Not thread-safe.
 */
public final class ChangeFeed {
    private final StoreMirror mirror;
    private final Map<String, Long> changeRevisions = new HashMap<>();
    private long latestRevision;

    /**
     * Creates a feed of the changes of a mirror.
     *
     * @param mirror the mirror
     */
    public ChangeFeed(StoreMirror mirror) {
        this.mirror = mirror;
    }

    /**
     * Records a relevant change. Must be called for each change of the mirror except mere renewals.
     *
     * @param item the changed item
     */
    public void recordChange(StoreItem item) {
        changeRevisions.put(item.key(), item.revision());
        latestRevision = Math.max(latestRevision, item.revision());
        if (changeRevisions.size() > 2 * (mirror.size() + StoreMirror.MAX_TOMBSTONES)) {
            changeRevisions.keySet().removeIf(k -> !mirror.isTracked(k));
        }
    }

    /**
     * Returns whether there is anything to report to a router.
     *
     * @param after the revision of the router
     * @return whether a relevant change followed that revision, or the router needs a snapshot
     */
    public boolean hasChangesAfter(long after) {
        return latestRevision > after || mirror.needsSnapshot(after);
    }

    /**
     * Returns the changes to report to a router.
     *
     * @param after the revision of the router
     * @return the relevant changes after that revision, or a snapshot if the router is too far behind
     */
    public StoreChanges changesSince(long after) {
        if (!hasChangesAfter(after)) {
            return new StoreChanges(List.of(), mirror.revision(), false);
        }
        StoreChanges all = mirror.changesSince(after);
        return all.snapshot()
                ? all
                : new StoreChanges(
                        all.items().stream().filter(i -> isRelevant(i, after)).toList(), all.revision(), false);
    }

    private boolean isRelevant(StoreItem item, long after) {
        return item.removed() || changeRevisions.getOrDefault(item.key(), item.revision()) > after;
    }
}
