package org.hornbeamhead.core.lease;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreEntry;
import org.hornbeamhead.core.store.StoreReply;
import org.hornbeamhead.core.time.Clock;

/**
 * Acquires and renews one lease, with a fencing number that increases with each holder.
 *
 * <p>The lease's key is attached to the platform's lease and is removed when that expires. The fencing number is stored
 * under a key of its own, which does not expire. It is incremented by compare-and-swap only after the lease was
 * acquired, from the value read before, so that the acquisition fails if the process was paused in between and another
 * holder has incremented the number.
 *
 * <p>Owned by one thread; {@link #renewOrAcquire} is called at every renewal interval.
 */
public final class LeaseManager {
    /**
     * The share of the lease in which the holder no longer acts, to allow for clock drift and the latency of orders.
     */
    private static final double SAFETY_MARGIN_SHARE = 0.25;

    private final KeyValueStore store;
    private final Clock clock;
    private final String name;
    private final String holder;
    private final Duration ttl;
    private Optional<LeaseState> state = Optional.empty();
    private CompletableFuture<Void> pendingStep = CompletableFuture.completedFuture(null);
    private boolean released;

    /**
     * Creates a manager that does not hold the lease.
     *
     * @param store the platform's key-value service
     * @param clock the clock; only its monotonic time is used
     * @param name the name of the leased resource
     * @param holder the name of the acquiring process, for operators to read
     * @param ttl the time after which the lease expires without renewal
     */
    public LeaseManager(KeyValueStore store, Clock clock, String name, String holder, Duration ttl) {
        this.store = store;
        this.clock = clock;
        this.name = name;
        this.holder = holder;
        this.ttl = ttl;
    }

    /**
     * Returns the lease while its holder may act on it.
     *
     * <p>If a holder is paused and its lease expires, another process may take over while the first one continues, and
     * both send orders. Checking the monotonic clock right before each order detects a pause before the check. A pause
     * after the check is detected by the fencing number, or corrected by the new holder's orders if an engine ignores
     * the number.
     *
     * @return the lease; empty if it is not held or about to expire
     */
    public Optional<LeaseState> validLease() {
        return state.filter(s -> clock.monotonicMillis() < s.validUntilMillis());
    }

    /**
     * Renews the lease, or tries to acquire it if it is not held.
     *
     * @return a stage that completes when the operation is done; a call during a pending operation does nothing
     */
    public CompletionStage<Void> renewOrAcquire() {
        if (!pendingStep.isDone()) {
            return CompletableFuture.completedFuture(null);
        }
        released = false;
        CompletionStage<Void> step = state.isPresent() ? renew(state.get()) : acquire();
        pendingStep = step.toCompletableFuture();
        return pendingStep;
    }

    /**
     * Releases the lease, so that another process need not wait for it to expire.
     *
     * <p>A renewal or acquisition may be pending, with its reply received after this call. Such a reply says nothing
     * about the time after the release. It is ignored, and a lease acquired by it is revoked: otherwise this process
     * would count as a second holder, or hold a lease that nobody renews.
     *
     * @return a stage that completes when the platform has replied or, if no lease is held, when the pending operation
     *     is done
     */
    public CompletionStage<Void> release() {
        Optional<LeaseState> held = state;
        state = Optional.empty();
        released = true;
        return held.<CompletionStage<Void>>map(s -> store.revoke(s.lease()).thenApply(r -> null))
                .orElse(pendingStep);
    }

    private CompletionStage<Void> renew(LeaseState held) {
        long sent = clock.monotonicMillis();
        return store.renew(held.lease()).thenAccept(reply -> {
            if (released) {
                return;
            }
            if (reply instanceof StoreReply.Leased) {
                state = Optional.of(new LeaseState(name, held.lease(), held.fence(), validUntil(sent)));
            } else if (reply instanceof StoreReply.Missing || clock.monotonicMillis() >= held.validUntilMillis()) {
                state = Optional.empty();
            }
        });
    }

    private CompletionStage<Void> acquire() {
        return store.read(fenceKey()).thenCompose(reply -> {
            if (reply instanceof StoreReply.Found found) {
                return requestLease(Optional.of(found.entry()));
            }
            if (reply instanceof StoreReply.Missing) {
                return requestLease(Optional.empty());
            }
            return CompletableFuture.completedFuture(null);
        });
    }

    private CompletionStage<Void> requestLease(Optional<StoreEntry> fence) {
        return store.read(leaseKey()).thenCompose(current -> {
            if (!(current instanceof StoreReply.Missing)) {
                return CompletableFuture.completedFuture(null);
            }
            long sent = clock.monotonicMillis();
            return store.grant(ttl).thenCompose(reply -> {
                if (reply instanceof StoreReply.Leased leased) {
                    return writeLeaseKey(fence, leased.lease(), sent);
                }
                return CompletableFuture.completedFuture(null);
            });
        });
    }

    private CompletionStage<Void> writeLeaseKey(Optional<StoreEntry> fence, String lease, long sentMillis) {
        return store.compareAndSwap(leaseKey(), KeyValueStore.ABSENT, holder, Optional.of(lease))
                .thenCompose(reply -> {
                    if (reply instanceof StoreReply.Found) {
                        return incrementFence(fence, lease, sentMillis);
                    }
                    // A write in doubt may have created the key. Revoking the lease removes it.
                    return store.revoke(lease).thenApply(r -> null);
                });
    }

    private CompletionStage<Void> incrementFence(Optional<StoreEntry> fence, String lease, long sentMillis) {
        long number = fence.map(e -> Long.parseLong(e.value())).orElse(0L) + 1;
        long version = fence.map(StoreEntry::version).orElse(KeyValueStore.ABSENT);
        return store.compareAndSwap(fenceKey(), version, Long.toString(number), Optional.empty())
                .thenCompose(reply -> {
                    if (reply instanceof StoreReply.Found && !released) {
                        state = Optional.of(new LeaseState(name, lease, number, validUntil(sentMillis)));
                        return CompletableFuture.completedFuture(null);
                    }
                    return store.revoke(lease).thenApply(r -> null);
                });
    }

    /** Returns the end of the validity, counted from when the request was sent since its reply may be late. */
    private long validUntil(long sentMillis) {
        return sentMillis + (long) (ttl.toMillis() * (1 - SAFETY_MARGIN_SHARE));
    }

    private String leaseKey() {
        return "leases/" + name;
    }

    private String fenceKey() {
        return "fences/" + name;
    }
}
