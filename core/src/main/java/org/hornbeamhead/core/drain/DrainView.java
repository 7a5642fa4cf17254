package org.hornbeamhead.core.drain;

import java.util.Optional;
import java.util.Set;
import org.hornbeamhead.core.lease.LeaseState;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreReply;

/**
 * The drain orders that a lease holder may act on.
 *
 * <p>A process that acquires a lease may have read no drain orders yet, or only those from a time when another process
 * held the lease. It would then treat an operator's drain that it never read as ended and send work to the endpoint
 * again. Orders are therefore valid only under leases that were already held when the read started.
 *
 * <p>Not thread-safe; must be used by one thread.
 */
public final class DrainView {
    private record ReadResult(DrainOrders orders, Set<String> leases) {}

    private final KeyValueStore store;
    private Optional<ReadResult> lastResult = Optional.empty();
    private boolean readInProgress;

    /**
     * Creates a view without orders.
     *
     * @param store the platform's service
     */
    public DrainView(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Starts reading the orders unless a read is in progress, so that an older reply cannot replace a newer one.
     *
     * @param leases the platform's ids of the leases held now; nothing is read if there are none
     */
    public void read(Set<String> leases) {
        if (readInProgress || leases.isEmpty()) {
            return;
        }
        readInProgress = true;
        store.read(DrainOrders.KEY)
                .thenAccept(reply ->
                        orders(reply).ifPresent(orders -> lastResult = Optional.of(new ReadResult(orders, leases))))
                .whenComplete((v, e) -> readInProgress = false);
    }

    private static Optional<DrainOrders> orders(StoreReply reply) {
        if (reply instanceof StoreReply.Found found) {
            return Optional.of(DrainOrders.parse(found.entry().value()));
        }
        return reply instanceof StoreReply.Missing ? Optional.of(DrainOrders.NONE) : Optional.empty();
    }

    /**
     * Returns the orders that are valid under a lease.
     *
     * @param lease the lease that is held
     * @return the orders of the last successful read; empty if no read has succeeded that started while the lease was
     *     held
     */
    public Optional<DrainOrders> ordersUnder(LeaseState lease) {
        return lastResult.filter(r -> r.leases().contains(lease.lease())).map(ReadResult::orders);
    }
}
