package org.hornbeamhead.gateway.duty;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.duty.ReplicaOrderClient.Reply;
import org.hornbeamhead.gateway.duty.ReplicaOrderClient.Report;
import org.hornbeamhead.gateway.duty.ReplicaOrderClient.WeightsOrder;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** Sends the orders for selected changes, follows their progress by the replicas' reports, and repeats lost orders. */
final class OrderTracker {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** A report is some hundred milliseconds old; polling more often returns nothing new. */
    private static final long REPORT_INTERVAL_MILLIS = 150;
    /**
     * An order without a reply is taken for lost when the replica is idle and unchanged after this time. It is then
     * sent again.
     */
    private static final long LOST_ORDER_TIMEOUT_MILLIS = 700;
    /**
     * How often a replica that sent no report is polled again. A longer interval may find a replica that was
     * unreachable for 1.5 s only a second after its return, when its weights are already out of use. A quarter of a
     * second still costs few calls.
     */
    private static final long UNRESPONSIVE_REPORT_INTERVAL_MILLIS = 250;

    /** After this many orders without effect in a row other replicas go first. */
    private static final int MAX_LOST_ORDERS = 3;

    private final Clock clock;
    private final ReplicaOrderClient orderClient;
    private final LeaderLease lease;
    private final String self;
    private final Consumer<String> onDeclined;
    private final Map<String, Long> acceptedOrders = new HashMap<>();
    private long lastOrderAt = Long.MIN_VALUE / 2;

    /**
     * Creates a tracker.
     *
     * @param clock the clock
     * @param orderClient sends orders to replicas
     * @param lease the leader lease
     * @param self this router's name
     * @param onDeclined called with each run of a replica that refuses its order, or on which several had no effect
     */
    OrderTracker(
            Clock clock, ReplicaOrderClient orderClient, LeaderLease lease, String self, Consumer<String> onDeclined) {
        this.clock = clock;
        this.orderClient = orderClient;
        this.lease = lease;
        this.self = self;
        this.onDeclined = onDeclined;
    }

    /** Forgets what replicas reported before this router became leader, since it may be outdated. */
    void reset() {
        acceptedOrders.clear();
    }

    long lastOrderAt() {
        return lastOrderAt;
    }

    /** Sends the order once this is allowed, and polls the replica for its progress. */
    void advance(LiveReplica replica, WeightsChange change) {
        boolean reported = acceptedOrders.containsKey(replica.entry().run());
        if (change.announced && !change.ordered && reported) {
            sendOrder(replica, change);
        } else if (!change.reportPending
                && (change.ordered || !reported)
                && now() - change.reportRequestedAt
                        > (change.unresponsive ? UNRESPONSIVE_REPORT_INTERVAL_MILLIS : REPORT_INTERVAL_MILLIS)) {
            requestReport(replica, change);
        }
    }

    private void requestReport(LiveReplica replica, WeightsChange change) {
        change.reportRequestedAt = now();
        change.reportPending = true;
        orderClient.fetchReport(replica.entry()).subscribe((report, e) -> {
            change.reportPending = false;
            change.unresponsive = e != null;
            if (e == null) {
                onReport(replica, change, report);
            } else {
                logger.atInfo()
                        .with(Logs.REPLICA, replica.entry().id())
                        .with(Logs.DECISION, "no report")
                        .with(Logs.REASON, String.valueOf(e.getMessage()))
                        .log("the replica sent no report");
            }
        });
    }

    private void sendOrder(LiveReplica replica, WeightsChange change) {
        OptionalLong fencingToken = lease.fencingToken();
        if (fencingToken.isEmpty()) {
            return;
        }
        change.ordered = true;
        change.orderedAt = now();
        change.reportRequestedAt = now();
        lastOrderAt = now();
        long ordersBefore = acceptedOrders.get(replica.entry().run());
        WeightsOrder order =
                new WeightsOrder(change.model, change.version, self, fencingToken.getAsLong(), ordersBefore);
        logger.atInfo()
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "weights ordered")
                .with(Logs.INPUTS, order.toString())
                .log("order to serve version %d", change.version);
        orderClient
                .sendOrder(replica.entry(), order)
                .subscribe((reply, e) -> onReply(replica, change, ordersBefore, reply, e));
    }

    private void onReply(LiveReplica replica, WeightsChange change, long ordersBefore, Reply reply, Exception e) {
        logger.atInfo()
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "order answered")
                .log("order to serve version %d: %s", change.version, e == null ? reply : e.getMessage());
        if (reply == Reply.ACCEPTED) {
            acceptedOrders.put(replica.entry().run(), ordersBefore + 1);
        } else if (reply == Reply.ALREADY) {
            replica.observeVersion(change.model, change.version);
        } else if (reply == Reply.REFUSED) {
            onDeclined.accept(replica.entry().run());
        }
    }

    /** Reports and entries without a start time match any run. If they were ignored, the change would never finish. */
    private static boolean isOfAnotherRun(Report report, LiveReplica replica) {
        long listedStart = replica.entry().startedAt();
        return listedStart != 0 && report.startedAt() != 0 && report.startedAt() != listedStart;
    }

    private void onReport(LiveReplica replica, WeightsChange change, Report report) {
        if (isOfAnotherRun(report, replica)) {
            return;
        }
        if (report.leaving() && replica.notices().recordLeaving()) {
            logger.atInfo()
                    .with(Logs.REPLICA, replica.entry().id())
                    .with(Logs.DECISION, "replica leaving")
                    .log("the replica reports that it is leaving");
        }
        String run = replica.entry().run();
        acceptedOrders.merge(run, report.acceptedOrders(), Math::max);
        long version = report.weights().getOrDefault(change.model, 0L);
        report.weights().forEach(replica::observeVersion);
        boolean idle = !report.busy() && version < change.version;
        if (idle && change.ordered && now() - change.orderedAt > LOST_ORDER_TIMEOUT_MILLIS) {
            recordLostOrder(run, change);
        }
    }

    private void recordLostOrder(String run, WeightsChange change) {
        change.ordered = false;
        change.lostOrders++;
        if (change.lostOrders >= MAX_LOST_ORDERS) {
            onDeclined.accept(run);
        }
    }

    private long now() {
        return clock.monotonicMillis();
    }
}
