package org.hornbeamhead.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.path.ReplicaPaths;
import org.hornbeamhead.gateway.replica.LiveReplica;

/** Watches one attempt whose replica sends nothing, and decides when another replica is tried beside it. */
final class SilenceWatch {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * How long a replica may send nothing before it counts as silent; busy engines send an event every tenth of a
     * second.
     */
    private static final long SILENCE_THRESHOLD_MILLIS = 500;
    /** After how long it is looked at again whether another replica can take over for one that is still silent. */
    private static final long RECHECK_MILLIS = 500;

    private final Exchange exchange;
    private final Attempt attempt;
    private final LiveReplica replica;
    private final AttemptTimers timers;
    private long timeoutMillis = SilenceTimeouts.UNLIMITED;
    private long lastHeardAt;
    private boolean answered;

    SilenceWatch(Exchange exchange, Attempt attempt, AttemptTimers timers) {
        this.exchange = exchange;
        this.attempt = attempt;
        this.replica = attempt.target().replica();
        this.timers = timers;
    }

    /** Starts to watch an attempt that was just sent. */
    void start(SilenceTimeouts timeouts) {
        lastHeardAt = now();
        restart(timeouts.firstByteMillis());
        timers.startProbeTimer(timeouts.probeDelayMillis(), this::probeReplica);
        timers.startPathTimer(timeouts.pathDelayMillis(), this::recordUnreached);
    }

    /** Records that the replica sent something. */
    void recordContact() {
        lastHeardAt = now();
        answered = true;
        exchange.dispatcher().paths().recordContact(replica);
    }

    /** Returns whether nothing has been received for longer than the silence threshold. */
    boolean isSilent() {
        return now() - lastHeardAt > SILENCE_THRESHOLD_MILLIS;
    }

    /**
     * Starts the silence timer. When it expires, another replica is tried if one can take over; otherwise the timer is
     * restarted, since silence alone never ends an attempt.
     */
    void restart(long millis) {
        timeoutMillis = millis;
        timers.restartSilenceTimer(millis, () -> {
            if (!exchange.attempts().isLatest(attempt)) {
                return;
            }
            if (exchange.canRetryNow()) {
                replica.connections().closeIdle();
                replica.guard().recordFailure(now());
                exchange.attemptSilent(attempt, "silent for " + millis + " ms");
            } else {
                goOn("no other replica can take over");
            }
        });
    }

    /** Waits on for the replica. */
    void goOn(String reason) {
        logger.atInfo()
                .with(Logs.REQUEST, exchange.serviceRequest().callerRequest().id())
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.DECISION, "waits on")
                .with(Logs.REASON, "silent for " + (now() - lastHeardAt) + " ms, and " + reason)
                .log("attempt continues without a response");
        restart(Math.min(timeoutMillis, RECHECK_MILLIS));
    }

    /**
     * Probes the replica when no response has arrived within the predicted time; it may have failed without any sign.
     */
    private void probeReplica() {
        if (!answered) {
            replica.connections().probe(() -> {
                replica.guard().recordConnectFailure(now());
                exchange.dispatcher().paths().recordFailure(replica, ReplicaPaths.Failure.NOT_CONNECTED);
            });
        }
    }

    private void recordUnreached() {
        if (!answered) {
            exchange.dispatcher().paths().recordFailure(replica, ReplicaPaths.Failure.SILENT);
        }
    }

    private long now() {
        return exchange.dispatcher().clock().monotonicMillis();
    }
}
