package org.hornbeamhead.core.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's key-value service, as far as it is used. Every call may answer, fail, or be in doubt: fail although it
 * took effect. No call blocks; each stage completes on the caller's thread.
 */
public interface KeyValueStore {
    /** The expected version of a key that must not exist yet. */
    long ABSENT = 0;

    /**
     * Reads a key.
     *
     * @param key the key
     * @return {@link StoreReply.Found}, {@link StoreReply.Missing} or {@link StoreReply.Failed}
     */
    CompletionStage<StoreReply> read(String key);

    /**
     * Writes a key if it still has the expected version.
     *
     * @param key the key
     * @param expectedVersion the version, or {@link #ABSENT}
     * @param value the new value, up to a megabyte
     * @param lease a lease that the key lives with, if any
     * @return {@link StoreReply.Found} with the written entry, {@link StoreReply.Conflict}, {@link StoreReply.Failed}
     *     when it surely had no effect, or {@link StoreReply.InDoubt}
     */
    CompletionStage<StoreReply> compareAndSwap(String key, long expectedVersion, String value, Optional<String> lease);

    /**
     * Grants a lease.
     *
     * @param ttl how long it lasts without renewal
     * @return {@link StoreReply.Leased}, {@link StoreReply.Failed} or {@link StoreReply.InDoubt}
     */
    CompletionStage<StoreReply> grant(Duration ttl);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @return {@link StoreReply.Leased}, {@link StoreReply.Missing} when it has lapsed, or a failure
     */
    CompletionStage<StoreReply> renew(String lease);

    /**
     * Ends a lease, which removes the keys that live with it.
     *
     * @param lease the lease
     * @return {@link StoreReply.Leased} or a failure
     */
    CompletionStage<StoreReply> revoke(String lease);

    /**
     * Waits until a key is newer than a version, or until the service's own limit.
     *
     * @param key the key
     * @param afterVersion the version already known
     * @return as {@link #read}
     */
    CompletionStage<StoreReply> watch(String key, long afterVersion);
}
