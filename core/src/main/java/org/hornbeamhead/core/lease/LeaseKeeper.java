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
 * Seeks and keeps one lease, with a fencing number that rises with each holder.
 *
 * <p>The key of the lease lives with the platform's lease and vanishes when that lapses. The fencing number stands in a
 * key of its own, which never vanishes. It is raised by compare-and-swap only after the lease was won, from the value
 * read before, so that a seeker that was paused in between fails.
 *
 * <p>Owned by one thread; {@link #step} is called at every renewal interval.
 */
public final class LeaseKeeper {
    /** A holder acts only while this much of the lease is left, for the clocks' drift and the order's way. */
    private static final double MARGIN_SHARE = 0.25;

    private final KeyValueStore store;
    private final Clock clock;
    private final String name;
    private final String holder;
    private final Duration ttl;
    private Optional<LeaseState> state = Optional.empty();
    private CompletableFuture<Void> underWay = CompletableFuture.completedFuture(null);
    private boolean givenBack;

    /**
     * Makes a keeper that holds nothing.
     *
     * @param store the platform's service
     * @param clock the clock; only its monotonic time is used
     * @param name what the lease is on
     * @param holder the process that seeks it, for operators to read
     * @param ttl how long the lease lasts without renewal
     */
    public LeaseKeeper(KeyValueStore store, Clock clock, String name, String holder, Duration ttl) {
        this.store = store;
        this.clock = clock;
        this.name = name;
        this.holder = holder;
        this.ttl = ttl;
    }

    /**
     * Returns the lease while it may be acted upon.
     *
     * <p>Failure: the holder is paused, the lease lapses, another takes over, and the first goes on. Symptom: two sets
     * of orders. The check against the monotonic clock right before each order catches a pause before the check; a
     * pause after it is caught by the fencing number, or by the new holder's corrections where an engine ignores the
     * number.
     *
     * @return the lease, empty when it is not held or about to lapse
     */
    public Optional<LeaseState> held() {
        return state.filter(s -> clock.monotonicMillis() < s.validUntilMillis());
    }

    /**
     * Renews the lease, or seeks it when it is not held.
     *
     * @return completes when the step is over; calls during a step do nothing
     */
    public CompletionStage<Void> step() {
        if (!underWay.isDone()) {
            return CompletableFuture.completedFuture(null);
        }
        givenBack = false;
        CompletionStage<Void> step = state.isPresent() ? renew(state.get()) : seek();
        underWay = step.toCompletableFuture();
        return underWay;
    }

    /**
     * Gives the lease back, so that another need not wait for it to lapse.
     *
     * <p>Failure: a step is under way, and its answer comes after this call. Symptom: the process counts as holder
     * again beside the next one, or wins a lease that nobody keeps. What was asked before tells nothing of the time
     * after.
     *
     * @return completes when the platform has answered; without a lease, when a step under way is over
     */
    public CompletionStage<Void> release() {
        Optional<LeaseState> held = state;
        state = Optional.empty();
        givenBack = true;
        return held.<CompletionStage<Void>>map(s -> store.revoke(s.lease()).thenApply(r -> null))
                .orElse(underWay);
    }

    private CompletionStage<Void> renew(LeaseState held) {
        long sent = clock.monotonicMillis();
        return store.renew(held.lease()).thenAccept(reply -> {
            if (givenBack) {
                return;
            }
            if (reply instanceof StoreReply.Leased) {
                state = Optional.of(new LeaseState(name, held.lease(), held.fence(), validUntil(sent)));
            } else if (reply instanceof StoreReply.Missing || clock.monotonicMillis() >= held.validUntilMillis()) {
                state = Optional.empty();
            }
        });
    }

    private CompletionStage<Void> seek() {
        return store.read(fenceKey()).thenCompose(reply -> {
            if (reply instanceof StoreReply.Found found) {
                return grant(Optional.of(found.entry()));
            }
            if (reply instanceof StoreReply.Missing) {
                return grant(Optional.empty());
            }
            return CompletableFuture.completedFuture(null);
        });
    }

    private CompletionStage<Void> grant(Optional<StoreEntry> fence) {
        return store.read(leaseKey()).thenCompose(present -> {
            if (!(present instanceof StoreReply.Missing)) {
                return CompletableFuture.completedFuture(null);
            }
            long sent = clock.monotonicMillis();
            return store.grant(ttl).thenCompose(reply -> {
                if (reply instanceof StoreReply.Leased leased) {
                    return take(fence, leased.lease(), sent);
                }
                return CompletableFuture.completedFuture(null);
            });
        });
    }

    private CompletionStage<Void> take(Optional<StoreEntry> fence, String lease, long sentMillis) {
        return store.compareAndSwap(leaseKey(), KeyValueStore.ABSENT, holder, Optional.of(lease))
                .thenCompose(reply -> {
                    if (reply instanceof StoreReply.Found) {
                        return raiseFence(fence, lease, sentMillis);
                    }
                    // A write in doubt may have taken the key. Ending the lease removes it again.
                    return store.revoke(lease).thenApply(r -> null);
                });
    }

    private CompletionStage<Void> raiseFence(Optional<StoreEntry> fence, String lease, long sentMillis) {
        long number = fence.map(e -> Long.parseLong(e.value())).orElse(0L) + 1;
        long version = fence.map(StoreEntry::version).orElse(KeyValueStore.ABSENT);
        return store.compareAndSwap(fenceKey(), version, Long.toString(number), Optional.empty())
                .thenCompose(reply -> {
                    if (reply instanceof StoreReply.Found && !givenBack) {
                        state = Optional.of(new LeaseState(name, lease, number, validUntil(sentMillis)));
                        return CompletableFuture.completedFuture(null);
                    }
                    return store.revoke(lease).thenApply(r -> null);
                });
    }

    private long validUntil(long sentMillis) {
        return sentMillis + (long) (ttl.toMillis() * (1 - MARGIN_SHARE));
    }

    private String leaseKey() {
        return "leases/" + name;
    }

    private String fenceKey() {
        return "fences/" + name;
    }
}
