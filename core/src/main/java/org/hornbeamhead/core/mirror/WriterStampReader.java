package org.hornbeamhead.core.mirror;

import java.util.Optional;

/** Reads the stamps of the writers that number their values. */
@FunctionalInterface
public interface WriterStampReader {
    /**
     * Reads the stamp of an item.
     *
     * @param item the item, which is not removed
     * @return the stamp, or empty if the item bears none
     */
    Optional<WriterStamp> read(StoreItem item);
}
