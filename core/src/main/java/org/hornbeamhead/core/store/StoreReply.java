package org.hornbeamhead.core.store;

import java.util.Optional;

/** The outcome of a call to the platform's key-value service. */
public sealed interface StoreReply {
    /**
     * The entry was read or written.
     *
     * @param entry the entry
     */
    record Found(StoreEntry entry) implements StoreReply {}

    /** The key or lease does not exist. */
    record Missing() implements StoreReply {}

    /**
     * The key had another version than expected, and nothing was written.
     *
     * @param current the current entry; empty if the key does not exist
     */
    record Conflict(Optional<StoreEntry> current) implements StoreReply {}

    /**
     * A lease was granted or renewed.
     *
     * @param lease the id of the lease
     */
    record Leased(String lease) implements StoreReply {}

    /**
     * The call certainly had no effect.
     *
     * @param why the cause, for the log
     */
    record Failed(String why) implements StoreReply {}

    /**
     * The call may have taken effect, or may still do so.
     *
     * @param why the cause, for the log
     */
    record InDoubt(String why) implements StoreReply {}
}
