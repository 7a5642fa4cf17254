package org.hornbeamhead.gateway.limit;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.OptionalDouble;
import org.hornbeamhead.core.limit.StatedLimit;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** The request limits that replicas state in their answers. */
public final class ReplicaLimits {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Clock clock;
    private final Metrics metrics;

    /**
     * Creates the limits of replicas that have stated none.
     *
     * @param clock the clock
     * @param metrics the metrics of the process
     */
    public ReplicaLimits(Clock clock, Metrics metrics) {
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Records what an answer states of the replica's limit. An invalid statement changes nothing.
     *
     * @param replica the replica
     * @param limit the limit in requests a second, empty if the answer states none, or why it is invalid
     * @param requestedMillis when the request was sent, on the monotonic clock
     */
    public void observe(LiveReplica replica, Either<String, OptionalDouble> limit, long requestedMillis) {
        if (limit.isLeft()) {
            metrics.count("hornbeam_replica_limits", "stated", "invalid");
            log(replica, "request limit ignored", limit.getLeft());
            return;
        }
        OptionalDouble stated = limit.get();
        if (stated.isEmpty() && !replica.limiter().isLimited()) {
            return;
        }
        metrics.count("hornbeam_replica_limits", "stated", stated.isPresent() ? "limit" : "none");
        double rate = stated.orElse(Double.POSITIVE_INFINITY);
        if (replica.limiter().observe(new StatedLimit(rate, requestedMillis, clock.monotonicMillis()))) {
            log(replica, "request limit changed", "limit=" + rate + " source=answer");
        }
    }

    private static void log(LiveReplica replica, String decision, String inputs) {
        logger.atInfo()
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, decision)
                .with(Logs.INPUTS, inputs)
                .log("%s: %s", decision, replica.entry().id());
    }
}
