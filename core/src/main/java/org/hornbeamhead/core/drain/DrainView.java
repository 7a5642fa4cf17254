package org.hornbeamhead.core.drain;

import java.util.Optional;
import java.util.Set;
import org.hornbeamhead.core.lease.LeaseState;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreReply;

/**
 * The drain orders as a holder of leases may act upon them.
 *
 * <p>Failure: a process wins a lease and has no drain orders, or those of a time when another held it. Symptom: it
 * takes an operator's drain that it never read for an ended one, and work comes back to the endpoint. So orders count
 * only under the leases that were held when they were asked for.
 *
 * <p>Owned by one thread.
 */
public final class DrainView {
    private record Reading(DrainOrders orders, Set<String> leases) {}

    private final KeyValueStore store;
    private Optional<Reading> newest = Optional.empty();
    private boolean reading;

    /**
     * Makes a view that knows nothing yet.
     *
     * @param store the platform's service
     */
    public DrainView(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Asks for the orders unless a question is under way, so that no older answer follows a newer one.
     *
     * @param leases the platform's ids of the leases that are held now; without any nothing is asked
     */
    public void read(Set<String> leases) {
        if (reading || leases.isEmpty()) {
            return;
        }
        reading = true;
        store.read(DrainOrders.KEY)
                .thenAccept(
                        reply -> orders(reply).ifPresent(orders -> newest = Optional.of(new Reading(orders, leases))))
                .whenComplete((v, e) -> reading = false);
    }

    private static Optional<DrainOrders> orders(StoreReply reply) {
        if (reply instanceof StoreReply.Found found) {
            return Optional.of(DrainOrders.parse(found.entry().value()));
        }
        return reply instanceof StoreReply.Missing ? Optional.of(DrainOrders.NONE) : Optional.empty();
    }

    /**
     * Returns what may be acted upon under a lease.
     *
     * @param held the lease
     * @return the orders of the last successful read; empty while none was made since the lease was won
     */
    public Optional<DrainOrders> ordersUnder(LeaseState held) {
        return newest.filter(r -> r.leases().contains(held.lease())).map(Reading::orders);
    }
}
