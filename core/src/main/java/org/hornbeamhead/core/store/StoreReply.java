package org.hornbeamhead.core.store;

import java.util.Optional;

/** What a call to the platform's key-value service came to. */
public sealed interface StoreReply {
    /**
     * The entry that was read, or written.
     *
     * @param entry the entry
     */
    record Found(StoreEntry entry) implements StoreReply {}

    /** There is no such key or lease. */
    record Missing() implements StoreReply {}

    /**
     * The key had another version, so nothing was written.
     *
     * @param current the present entry, empty when the key is absent
     */
    record Conflict(Optional<StoreEntry> current) implements StoreReply {}

    /**
     * A lease was granted or renewed.
     *
     * @param lease its id
     */
    record Leased(String lease) implements StoreReply {}

    /**
     * The call surely had no effect.
     *
     * @param why for the log
     */
    record Failed(String why) implements StoreReply {}

    /**
     * The call may have taken effect, now or later.
     *
     * @param why for the log
     */
    record InDoubt(String why) implements StoreReply {}
}
