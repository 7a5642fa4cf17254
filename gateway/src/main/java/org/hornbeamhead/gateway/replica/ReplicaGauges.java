package org.hornbeamhead.gateway.replica;

import java.util.function.Predicate;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Metrics;

/** Metrics that count the listed replicas by their state. */
public final class ReplicaGauges {
    private final ReplicaRegistry registry;
    private final Clock clock;

    /**
     * Creates the metrics.
     *
     * @param registry the replicas
     * @param clock the clock
     */
    public ReplicaGauges(ReplicaRegistry registry, Clock clock) {
        this.registry = registry;
        this.clock = clock;
    }

    /**
     * Adds the metrics to those of the process.
     *
     * @param metrics the metrics of the process
     */
    public void register(Metrics metrics) {
        metrics.gauge("hornbeam_replicas", () -> registry.all().size());
        metrics.gauge("hornbeam_leaving_replicas", () -> count(LiveReplica::isLeaving));
        metrics.gauge(
                "hornbeam_backing_off_replicas", () -> count(r -> r.notices().isBackingOff(clock.monotonicMillis())));
    }

    private long count(Predicate<LiveReplica> condition) {
        return registry.all().stream().filter(condition).count();
    }
}
