package org.hornbeamhead.gateway.limit;

import io.activej.promise.Promise;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.gateway.duty.ReplicaOrderClient;
import org.hornbeamhead.gateway.path.ReplicaPaths;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;

/**
 * Counts orders and fetched reports as requests to the replica, so that callers' requests give way to them under a
 * limit. They are never held back, since a change of weights has a deadline of its own.
 */
public final class CountedOrderClient implements ReplicaOrderClient {
    private final ReplicaOrderClient orders;
    private final ReplicaRegistry registry;
    private final Clock clock;
    private final ReplicaPaths paths;

    /**
     * Wraps a client.
     *
     * @param orders sends orders to replicas
     * @param registry the replicas
     * @param clock the clock
     * @param paths records whether replicas answer with a report
     */
    public CountedOrderClient(ReplicaOrderClient orders, ReplicaRegistry registry, Clock clock, ReplicaPaths paths) {
        this.orders = orders;
        this.registry = registry;
        this.clock = clock;
        this.paths = paths;
    }

    @Override
    public Promise<Reply> sendOrder(ReplicaEntry replica, WeightsOrder order) {
        count(replica);
        return orders.sendOrder(replica, order);
    }

    @Override
    public Promise<Report> fetchReport(ReplicaEntry replica) {
        count(replica);
        return orders.fetchReport(replica)
                .whenComplete((report, e) -> registry.byRun(replica.run()).ifPresent(r -> recordReport(r, e == null)));
    }

    private void recordReport(LiveReplica replica, boolean answered) {
        if (answered) {
            paths.recordContact(replica);
        } else {
            paths.recordFailure(replica, ReplicaPaths.Failure.SILENT);
        }
    }

    private void count(ReplicaEntry replica) {
        registry.byRun(replica.run()).ifPresent(r -> r.limiter().recordSend(clock.monotonicMillis()));
    }
}
