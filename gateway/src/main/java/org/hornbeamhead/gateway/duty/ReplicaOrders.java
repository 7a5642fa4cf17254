package org.hornbeamhead.gateway.duty;

import io.activej.promise.Promise;
import java.util.Map;
import org.hornbeamhead.core.replica.ReplicaEntry;

/**
 * Orders to replicas, and what they report of themselves. A call fails when it got no answer: it may take effect later.
 */
public interface ReplicaOrders {
    /** What a replica answered to an order. */
    enum Reply {
        /** It carries the order out. */
        ACCEPTED,
        /** The ordered state already holds. */
        ALREADY,
        /** Another order is under way, or another number of orders was accepted than was expected. */
        CONFLICT,
        /** It will not: the order is unknown, outdated, or meant for another replica. */
        REFUSED
    }

    /**
     * An order to serve other weights.
     *
     * @param model the model
     * @param version the version to serve
     * @param holder the router that gives the order
     * @param fence its fencing number
     * @param ordersBefore the number of orders that the replica must have accepted so far
     */
    record WeightsOrder(String model, long version, String holder, long fence, long ordersBefore) {}

    /**
     * What a replica reports.
     *
     * @param startedAt when the replica started, in milliseconds since 1970; 0 when it does not tell
     * @param weights the version by model
     * @param busy whether an order is under way
     * @param orders the number of orders that it has accepted
     */
    record Report(long startedAt, Map<String, Long> weights, boolean busy, long orders) {
        /** Copies the weights, so that the report cannot change. */
        public Report {
            weights = Map.copyOf(weights);
        }
    }

    /**
     * Gives an order.
     *
     * @param replica the replica
     * @param order the order
     * @return its answer
     */
    Promise<Reply> give(ReplicaEntry replica, WeightsOrder order);

    /**
     * Asks for a report.
     *
     * @param replica the replica
     * @return the report, up to some hundred milliseconds old
     */
    Promise<Report> report(ReplicaEntry replica);
}
