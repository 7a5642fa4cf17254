package org.hornbeamhead.gateway.duty;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.duty.ReplicaOrders.Reply;
import org.hornbeamhead.gateway.duty.ReplicaOrders.Report;
import org.hornbeamhead.gateway.duty.ReplicaOrders.WeightsOrder;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** Gives the orders of changes that were chosen, follows them by the replicas' reports, and repeats lost ones. */
final class ChangeOrders {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** A report is as of some hundred milliseconds ago; asking more often tells nothing new. */
    private static final long REPORT_EVERY_MILLIS = 150;
    /**
     * An order without an answer, at a replica that is idle and unchanged after this time, was lost: it is given again.
     */
    private static final long LOST_ORDER_MILLIS = 700;
    /**
     * How often a replica that gave no report is asked again. Failure: a replica that was dark for 1.5 s is found to be
     * back a second later. Symptom: its weights go out of use first. A quarter of a second keeps it to a few calls.
     */
    private static final long SILENT_EVERY_MILLIS = 250;

    private final Clock clock;
    private final ReplicaOrders orders;
    private final DutyLease lease;
    private final String self;
    private final Consumer<String> refused;
    private final Map<String, Long> ordersSeen = new HashMap<>();
    private long lastOrderAt = Long.MIN_VALUE / 2;

    /**
     * Makes a giver of orders.
     *
     * @param clock the clock
     * @param orders gives orders
     * @param lease the right to order
     * @param self this router's name
     * @param refused told of each run of a replica that refuses its order
     */
    ChangeOrders(Clock clock, ReplicaOrders orders, DutyLease lease, String self, Consumer<String> refused) {
        this.clock = clock;
        this.orders = orders;
        this.lease = lease;
        this.self = self;
        this.refused = refused;
    }

    /** What replicas reported before this router held the duty may be outdated. */
    void forget() {
        ordersSeen.clear();
    }

    long lastOrderAt() {
        return lastOrderAt;
    }

    /** Gives the order once it may be given, and asks how far the replica is. */
    void follow(LiveReplica replica, WeightsChange c) {
        boolean known = ordersSeen.containsKey(replica.entry().run());
        if (c.noticed && !c.asked && known) {
            give(replica, c);
        } else if (!c.asking
                && (c.asked || !known)
                && now() - c.reportedAt > (c.silent ? SILENT_EVERY_MILLIS : REPORT_EVERY_MILLIS)) {
            ask(replica, c);
        }
    }

    private void ask(LiveReplica replica, WeightsChange c) {
        c.reportedAt = now();
        c.asking = true;
        orders.report(replica.entry()).subscribe((report, e) -> {
            c.asking = false;
            c.silent = e != null;
            if (e == null) {
                reported(replica, c, report);
            } else {
                logger.atInfo()
                        .with(Logs.REPLICA, replica.entry().id())
                        .with(Logs.DECISION, "no report")
                        .with(Logs.REASON, String.valueOf(e.getMessage()))
                        .log("the replica does not report");
            }
        });
    }

    private void give(LiveReplica replica, WeightsChange c) {
        OptionalLong fence = lease.fence();
        if (fence.isEmpty()) {
            return;
        }
        c.asked = true;
        c.at = now();
        c.reportedAt = now();
        lastOrderAt = now();
        long before = ordersSeen.get(replica.entry().run());
        WeightsOrder order = new WeightsOrder(c.model, c.version, self, fence.getAsLong(), before);
        logger.atInfo()
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "weights ordered")
                .with(Logs.INPUTS, order.toString())
                .log("order to serve version %d", c.version);
        orders.give(replica.entry(), order).subscribe((reply, e) -> answered(replica, c, before, reply, e));
    }

    private void answered(LiveReplica replica, WeightsChange c, long before, Reply reply, Exception e) {
        logger.atInfo()
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "order answered")
                .log("order to serve version %d: %s", c.version, e == null ? reply : e.getMessage());
        if (reply == Reply.ACCEPTED) {
            ordersSeen.put(replica.entry().run(), before + 1);
        } else if (reply == Reply.ALREADY) {
            replica.sawWeights(c.version);
        } else if (reply == Reply.REFUSED) {
            refused.accept(replica.entry().run());
        }
    }

    /** A report or an entry that tells no start may be of any run; holding it back would stop the change for good. */
    private static boolean isOfAnotherRun(Report report, LiveReplica replica) {
        long listed = replica.entry().startedAt();
        return listed != 0 && report.startedAt() != 0 && report.startedAt() != listed;
    }

    private void reported(LiveReplica replica, WeightsChange c, Report report) {
        if (isOfAnotherRun(report, replica)) {
            return;
        }
        String id = replica.entry().run();
        ordersSeen.merge(id, report.orders(), Math::max);
        long version = report.weights().getOrDefault(c.model, 0L);
        replica.sawWeights(version);
        boolean idle = !report.busy() && version < c.version;
        if (idle && now() - c.at > LOST_ORDER_MILLIS) {
            c.asked = false;
        }
    }

    private long now() {
        return clock.monotonicMillis();
    }
}
