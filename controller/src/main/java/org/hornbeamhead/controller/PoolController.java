package org.hornbeamhead.controller;

import com.google.common.flogger.FluentLogger;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamhead.clients.EngineControl;
import org.hornbeamhead.core.config.Pool;
import org.hornbeamhead.core.drain.DrainOrders;
import org.hornbeamhead.core.drain.DrainView;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.lease.LeaseManager;
import org.hornbeamhead.core.lease.LeaseState;
import org.hornbeamhead.core.pool.PoolPlan;
import org.hornbeamhead.core.pool.ReplicaObservation;
import org.hornbeamhead.core.pool.ReplicaOrder;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;

/** Gives orders to the engines of one pool while it holds the pool's lease. */
final class PoolController {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** An order to load that shows no effect for so long is given again. */
    private static final long LOAD_FORGOTTEN_MILLIS = 120_000;

    private static final int CONFLICT = 409;

    private final String pool;
    private final LeaseManager lease;
    private final LoadSlots slots;
    private final EngineControl control;
    private final Clock clock;
    private final Metrics metrics;
    private final Map<String, Long> loadingSinceMillis = new HashMap<>();

    PoolController(
            String pool, LeaseManager lease, LoadSlots slots, EngineControl control, Clock clock, Metrics metrics) {
        this.pool = pool;
        this.lease = lease;
        this.slots = slots;
        this.control = control;
        this.clock = clock;
        this.metrics = metrics;
    }

    String name() {
        return pool;
    }

    LeaseManager lease() {
        return lease;
    }

    /** Looks at the replicas and gives the orders that are due. */
    void step(Pool wanted, DrainView drains, List<Endpoint> replicas) {
        if (lease.validLease().isEmpty()) {
            loadingSinceMillis.clear();
            slots.want(pool, 0);
            return;
        }
        Promises.toList(replicas.stream().map(this::observe))
                .whenResult(seen -> order(wanted, drains, new ArrayList<>(seen)));
    }

    private Promise<ReplicaObservation> observe(Endpoint endpoint) {
        return control.load(endpoint.address())
                .then(
                        report -> Promise.of(new ReplicaObservation(endpoint, Optional.of(report))),
                        e -> Promise.of(new ReplicaObservation(endpoint, Optional.empty())));
    }

    private void order(Pool wanted, DrainView drains, List<ReplicaObservation> seen) {
        forgetFinishedLoads(wanted, seen);
        long outdated = seen.stream()
                .filter(o -> o.report()
                        .filter(r -> !r.weights().equals(wanted.weights()))
                        .isPresent())
                .count();
        slots.want(pool, (int) outdated);
        List<String> loading = List.copyOf(loadingSinceMillis.keySet());
        Optional<DrainOrders> known = lease.validLease().flatMap(drains::ordersUnder);
        PoolPlan.decide(wanted, known, seen, slots.held(pool), loading).forEach(this::give);
    }

    private void forgetFinishedLoads(Pool wanted, List<ReplicaObservation> seen) {
        long now = clock.monotonicMillis();
        loadingSinceMillis.values().removeIf(since -> now - since > LOAD_FORGOTTEN_MILLIS);
        seen.stream()
                .filter(o -> o.report()
                        .filter(r -> r.weights().equals(wanted.weights()))
                        .isPresent())
                .forEach(o -> loadingSinceMillis.remove(o.endpoint().address()));
    }

    /** The lease is looked at again right before each order, since any time may have passed since the decision. */
    private void give(ReplicaOrder order) {
        Optional<LeaseState> held = lease.validLease();
        if (held.isEmpty()) {
            return;
        }
        if (order.load()) {
            loadingSinceMillis.put(order.address(), clock.monotonicMillis());
        }
        EngineControl.Order sent = new EngineControl.Order(held.get().fence(), order.weights(), order.draining());
        control.order(order.address(), sent).subscribe((reply, e) -> {
            String result = e != null ? "lost" : reply.status() == CONFLICT ? "fenced" : "given";
            metrics.count("hornbeam_orders", "pool", pool, "result", result);
            logger.atInfo()
                    .with(Logs.REPLICA, order.address())
                    .with(Logs.DECISION, result)
                    .log(
                            "order of pool %s under fencing number %d: weights %s, draining %s",
                            pool, held.get().fence(), order.weights(), order.draining());
        });
    }
}
