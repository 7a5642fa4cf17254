package org.hornbeamhead.core.mirror;

import java.util.List;

/**
 * Changes of the store, or a snapshot of it.
 *
 * @param items the changed items, or all existing items in a snapshot
 * @param revision the revision of the store up to which the changes are complete
 * @param snapshot whether the items are all items of the store, so that any other key is absent
 */
public record StoreChanges(List<StoreItem> items, long revision, boolean snapshot) {
    /** Makes an immutable copy of the items. */
    public StoreChanges {
        items = List.copyOf(items);
    }
}
