package org.hornbeamhead.gateway.availability;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import org.hornbeamhead.core.availability.AvailabilityNotice;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** Records what the answers of replicas say about whether they take further requests. */
public final class ReplicaNotices {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Clock clock;
    private final Metrics metrics;

    /**
     * Creates a recorder.
     *
     * @param clock the clock
     * @param metrics the metrics of the process
     */
    public ReplicaNotices(Clock clock, Metrics metrics) {
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Records the notice of an answer. Invalid statements change nothing.
     *
     * @param replica the replica that answered
     * @param notice what the answer says
     * @param request the request that was answered, for the log
     */
    public void observe(LiveReplica replica, AvailabilityNotice notice, String request) {
        if (notice.leaving().contains(true)) {
            metrics.count("hornbeam_replica_notices", "notice", "leaving");
            if (replica.notices().recordLeaving()) {
                log(
                        replica,
                        request,
                        "replica leaving",
                        "requests=" + replica.load().runningRequests(now()));
            }
        }
        notice.backOffMillis().forEach(millis -> millis.ifPresent(m -> recordBackOff(replica, request, m)));
        reportInvalid(replica, request, notice.leaving());
        reportInvalid(replica, request, notice.backOffMillis());
    }

    private void recordBackOff(LiveReplica replica, String request, long millis) {
        metrics.count("hornbeam_replica_notices", "notice", "back-off");
        if (replica.notices().recordBackOff(millis, now())) {
            log(
                    replica,
                    request,
                    "replica backs off",
                    "millis=" + millis + " until=" + replica.notices().backOffUntilMillis());
        }
    }

    private void reportInvalid(LiveReplica replica, String request, Either<String, ?> statement) {
        statement.peekLeft(reason -> {
            metrics.count("hornbeam_replica_notices", "notice", "invalid");
            log(replica, request, "replica notice ignored", reason);
        });
    }

    private long now() {
        return clock.monotonicMillis();
    }

    private static void log(LiveReplica replica, String request, String decision, String inputs) {
        logger.atInfo()
                .with(Logs.REQUEST, request)
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, decision)
                .with(Logs.INPUTS, inputs)
                .log("%s: %s", decision, replica.entry().id());
    }
}
