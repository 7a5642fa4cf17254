package org.hornbeamhead.gateway.state;

import io.activej.promise.Promise;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreItem;

/**
 * The platform's store. A call fails with {@link StoreUnavailableException} when it surely had no effect or its effect
 * does not matter, and a write that may have taken effect answers {@link WriteReply.InDoubt}.
 */
public interface PlatformStore {
    /**
     * Reads everything, as of the newest state.
     *
     * @return the items, and the revision from which changes must be watched
     */
    Promise<StoreChanges> readAll();

    /**
     * Waits for changes.
     *
     * @param after the revision up to which the caller knows everything
     * @param wait how long the store may wait for the first change
     * @return the changes; none after the wait. Fails with {@link HistoryLostException} when the store no longer knows
     *     them
     */
    Promise<StoreChanges> watch(long after, Duration wait);

    /**
     * Writes a key.
     *
     * @param key the key
     * @param expected the revision that the key must have, 0 for an absent key; empty to write in any case
     * @param value the value
     * @param lease the lease that the key lives with
     * @return what became of it
     */
    Promise<WriteReply> write(String key, OptionalLong expected, String value, Optional<String> lease);

    /**
     * Grants a lease.
     *
     * @param ttl how long it lasts without renewal
     * @return its id
     */
    Promise<String> grant(Duration ttl);

    /**
     * Renews a lease.
     *
     * @param lease its id
     * @return whether it was still alive
     */
    Promise<Boolean> renew(String lease);

    /**
     * Ends a lease, which removes the keys that live with it.
     *
     * @param lease its id
     * @return completes when the store has answered
     */
    Promise<Void> revoke(String lease);

    /** What became of a write. */
    sealed interface WriteReply {
        /**
         * It was written.
         *
         * @param revision the key's new revision
         */
        record Written(long revision) implements WriteReply {}

        /**
         * The key had another revision; nothing was written.
         *
         * @param current the present item, empty when the key is absent
         */
        record Conflict(Optional<StoreItem> current) implements WriteReply {}

        /** The lease has ended; nothing was written. */
        record LeaseExpired() implements WriteReply {}

        /**
         * It may have been written, or may be written later if its condition still holds.
         *
         * @param why for the log
         */
        record InDoubt(String reason) implements WriteReply {}
    }
}
