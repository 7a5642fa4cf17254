package org.hornbeamhead.core.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The operations used of the platform's key-value service. A call may succeed, fail, or be in doubt, which means that
 * it failed but may have taken effect. No call blocks; each stage completes on the caller's thread.
 */
public interface KeyValueStore {
    /** The expected version for a key that must not exist yet. */
    long ABSENT = 0;

    /**
     * Reads a key.
     *
     * @param key the key
     * @return {@link StoreReply.Found}, {@link StoreReply.Missing} or {@link StoreReply.Failed}
     */
    CompletionStage<StoreReply> read(String key);

    /**
     * Writes a key if it has the expected version.
     *
     * @param key the key
     * @param expectedVersion the expected version, or {@link #ABSENT}
     * @param value the new value, of at most one megabyte
     * @param lease the lease that the key is attached to, if any
     * @return {@link StoreReply.Found} with the written entry, {@link StoreReply.Conflict}, {@link StoreReply.Failed}
     *     if it certainly had no effect, or {@link StoreReply.InDoubt}
     */
    CompletionStage<StoreReply> compareAndSwap(String key, long expectedVersion, String value, Optional<String> lease);

    /**
     * Grants a lease.
     *
     * @param ttl the time after which the lease expires without renewal
     * @return {@link StoreReply.Leased}, {@link StoreReply.Failed} or {@link StoreReply.InDoubt}
     */
    CompletionStage<StoreReply> grant(Duration ttl);

    /**
     * Renews a lease.
     *
     * @param lease the id of the lease
     * @return {@link StoreReply.Leased}, {@link StoreReply.Missing} if it has expired, or a failure
     */
    CompletionStage<StoreReply> renew(String lease);

    /**
     * Revokes a lease, which removes the keys attached to it.
     *
     * @param lease the id of the lease
     * @return {@link StoreReply.Leased} or a failure
     */
    CompletionStage<StoreReply> revoke(String lease);

    /**
     * Waits until the version of a key is higher than a given one, or until the service's own time limit.
     *
     * @param key the key
     * @param afterVersion the last known version
     * @return as {@link #read}
     */
    CompletionStage<StoreReply> watch(String key, long afterVersion);
}
