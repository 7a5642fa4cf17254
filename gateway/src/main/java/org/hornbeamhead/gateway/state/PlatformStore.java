package org.hornbeamhead.gateway.state;

import io.activej.promise.Promise;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreItem;

/**
 * The platform's store. A call fails with {@link StoreUnavailableException} if it had no effect or its effect is
 * irrelevant. A write that may have taken effect returns {@link WriteReply.InDoubt}.
 */
public interface PlatformStore {
    /**
     * Reads a snapshot of the latest state.
     *
     * @return all items, and the revision after which changes must be watched
     */
    Promise<StoreChanges> readAll();

    /**
     * Waits for changes.
     *
     * @param after the revision up to which the caller has all changes
     * @param wait how long the store may wait for the first change
     * @return the changes; none if the wait ended without a change. Fails with {@link HistoryLostException} if the
     *     store no longer holds the changes
     */
    Promise<StoreChanges> watch(long after, Duration wait);

    /**
     * Reads the revision of the latest change. Unlike a watch, it is never behind.
     *
     * @return the revision
     */
    Promise<Long> readRevision();

    /**
     * Writes a key.
     *
     * @param key the key
     * @param expected the revision that the key must have, 0 if it must be absent; empty to write unconditionally
     * @param value the value
     * @param lease the lease to which the key is attached
     * @return the result of the write
     */
    default Promise<WriteReply> write(String key, OptionalLong expected, String value, Optional<String> lease) {
        return commit(StoreTransaction.ofKey(key, expected, value, lease));
    }

    /**
     * Executes a transaction.
     *
     * @param transaction the transaction
     * @return the result of the transaction
     */
    Promise<WriteReply> commit(StoreTransaction transaction);

    /**
     * Grants a lease.
     *
     * @param ttl how long the lease lasts without renewal
     * @return the id of the lease
     */
    Promise<String> grant(Duration ttl);

    /**
     * Renews a lease.
     *
     * @param lease the id of the lease
     * @return whether the lease had not expired
     */
    Promise<Boolean> renew(String lease);

    /**
     * Revokes a lease, which removes the keys attached to it.
     *
     * @param lease the id of the lease
     * @return completes when the store has answered
     */
    Promise<Void> revoke(String lease);

    /** The result of a write. */
    sealed interface WriteReply {
        /**
         * The keys were written.
         *
         * @param revision the new revision of the key that was written last
         */
        record Written(long revision) implements WriteReply {}

        /**
         * A key had another revision; nothing was written.
         *
         * @param current the current item of the first expected key, or empty if that key is absent
         */
        record Conflict(Optional<StoreItem> current) implements WriteReply {}

        /** The lease has expired; nothing was written. */
        record LeaseExpired() implements WriteReply {}

        /**
         * The keys may have been written, or may be written later if the conditions still hold.
         *
         * @param reason the reason, for the log
         */
        record InDoubt(String reason) implements WriteReply {}
    }
}
