package org.hornbeamhead.core.mirror;

import java.util.List;

/**
 * What a source tells of the store.
 *
 * @param items the changed items, or all present ones
 * @param revision the store's revision up to which this is whole
 * @param whole whether these are all items, so that a key that is not among them is gone
 */
public record StoreChanges(List<StoreItem> items, long revision, boolean whole) {
    /** Copies the items, so that the changes cannot change. */
    public StoreChanges {
        items = List.copyOf(items);
    }
}
