package org.hornbeamhead.gateway.duty;

import io.activej.promise.Promise;
import java.util.Map;
import org.hornbeamhead.core.replica.ReplicaEntry;

/**
 * Sends orders to replicas and fetches their reports. A call fails when it got no reply; its order may still take
 * effect later.
 */
public interface ReplicaOrderClient {
    /** A replica's reply to an order. */
    enum Reply {
        /** The replica carries out the order. */
        ACCEPTED,
        /** The replica is already in the ordered state. */
        ALREADY,
        /** Another order is in progress, or the number of accepted orders differs from the expected one. */
        CONFLICT,
        /** The replica rejects the order: it is unknown, outdated, or meant for another replica. */
        REFUSED
    }

    /**
     * An order to serve other weights.
     *
     * @param model the model
     * @param version the version to serve
     * @param holder the router that sends the order
     * @param fence the fencing token of that router
     * @param ordersBefore the number of orders that the replica must have accepted so far
     */
    record WeightsOrder(String model, long version, String holder, long fence, long ordersBefore) {}

    /**
     * A replica's report of its state.
     *
     * @param startedAt when the replica started, in milliseconds since 1970; 0 when it does not report this
     * @param weights the version by model
     * @param busy whether an order is in progress
     * @param acceptedOrders the number of orders that the replica has accepted
     * @param leaving whether the replica is leaving
     */
    record Report(long startedAt, Map<String, Long> weights, boolean busy, long acceptedOrders, boolean leaving) {
        /** Copies the weights, so that the report is immutable. */
        public Report {
            weights = Map.copyOf(weights);
        }
    }

    /**
     * Sends an order.
     *
     * @param replica the replica
     * @param order the order
     * @return its reply
     */
    Promise<Reply> sendOrder(ReplicaEntry replica, WeightsOrder order);

    /**
     * Fetches a report.
     *
     * @param replica the replica
     * @return the report, up to some hundred milliseconds old
     */
    Promise<Report> fetchReport(ReplicaEntry replica);
}
