package org.hornbeamhead.gateway.quarantine;

import com.google.common.flogger.FluentLogger;
import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.hornbeamhead.core.crash.LostAttempt;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaConnectionPool.Check;

/**
 * Detects which requests were running at a replica when its process ended.
 *
 * <p>A connection can break although the replica keeps running, because its response was invalid or something on the
 * network path reset the connection. The process has ended if its host refuses a new connection and nothing indicates
 * that this host has lost its path, or if soon afterwards its registry entry is removed or its address is listed for
 * another run. Losses at a replica that announced its shutdown are not counted against requests, and neither are losses
 * at a replica whose whole host is silent: the failure of a host is not caused by its requests.
 *
 * <p>Not thread-safe.
 */
public final class CrashDetector {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Delay before the second check; a dying process may close its connections a moment before its listener. */
    static final long SECOND_CHECK_DELAY_MILLIS = 50;
    /** How long lost requests are remembered; the registry may take some seconds to remove a silent replica. */
    private static final long RETENTION_MILLIS = 10_000;
    /** The shortest time between two checks of a silent replica; each check opens one new connection. */
    private static final long SILENT_CHECK_INTERVAL_MILLIS = 1_000;
    /** The number of replicas for which lost requests are remembered; bounds the memory. */
    private static final int MAX_REPLICAS = 512;
    /** The number of lost requests remembered per replica; more than its slots and its queue hold. */
    private static final int MAX_REQUESTS = 256;

    private final Clock clock;
    private final Timers timers;
    private final Function<LiveReplica, Promise<Boolean>> confirmation;
    private final BiConsumer<LostAttempt, LiveReplica> onCrash;
    private final Map<String, LostRequests> lostByReplica = new HashMap<>();

    /** Requests lost at one run of a replica. */
    private static final class LostRequests {
        private final Map<RequestFingerprint, LostAttempt> broken = new HashMap<>();
        private final Map<RequestFingerprint, LostAttempt> silent = new HashMap<>();
        private long lastLossAt;
        private long lastSilentCheckAt = Long.MIN_VALUE / 2;
        private boolean checking;
        private boolean recheckNeeded;
        private boolean crashed;
    }

    /**
     * Creates a detector without recorded losses.
     *
     * @param clock the clock
     * @param timers the timers of the current thread
     * @param confirmation confirms the end of a replica whose host refuses connections
     * @param onCrash receives each attempt that was lost in a crash, and the replica
     */
    public CrashDetector(
            Clock clock,
            Timers timers,
            Function<LiveReplica, Promise<Boolean>> confirmation,
            BiConsumer<LostAttempt, LiveReplica> onCrash) {
        this.clock = clock;
        this.timers = timers;
        this.confirmation = confirmation;
        this.onCrash = onCrash;
    }

    /**
     * Records that the connection of a request broke.
     *
     * @param attempt the lost attempt
     * @param replica the replica that ran it
     */
    public void connectionBroken(LostAttempt attempt, LiveReplica replica) {
        if (replica.isLeaving()) {
            return;
        }
        LostRequests lost = lostRequests(replica);
        if (lost.crashed) {
            onCrash.accept(attempt, replica);
        } else if (lost.broken.size() < MAX_REQUESTS) {
            lost.broken.putIfAbsent(attempt.request(), attempt);
            lost.recheckNeeded = true;
            if (!lost.checking) {
                checkTwice(replica, lost);
            }
        }
    }

    /** Checks twice whether the process has ended. Requests that are lost meanwhile are checked together afterwards. */
    private void checkTwice(LiveReplica replica, LostRequests lost) {
        lost.checking = true;
        lost.recheckNeeded = false;
        checkProcess(
                replica,
                lost,
                () -> timers.schedule(
                        SECOND_CHECK_DELAY_MILLIS,
                        () -> checkProcess(replica, lost, () -> {
                            lost.checking = false;
                            if (lost.recheckNeeded) {
                                checkTwice(replica, lost);
                            }
                        })));
    }

    /**
     * Records that a request was abandoned while its replica was silent; the process may have ended without a sign.
     *
     * @param attempt the lost attempt
     * @param replica the replica that ran it
     */
    public void replicaSilent(LostAttempt attempt, LiveReplica replica) {
        if (replica.isLeaving()) {
            return;
        }
        LostRequests lost = lostRequests(replica);
        if (lost.crashed) {
            onCrash.accept(attempt, replica);
        } else if (lost.silent.size() < MAX_REQUESTS) {
            lost.silent.putIfAbsent(attempt.request(), attempt);
            if (lost.lastLossAt - lost.lastSilentCheckAt >= SILENT_CHECK_INTERVAL_MILLIS) {
                lost.lastSilentCheckAt = lost.lastLossAt;
                checkProcess(replica, lost, lost.silent::clear);
            }
        }
    }

    private LostRequests lostRequests(LiveReplica replica) {
        long now = clock.monotonicMillis();
        lostByReplica.values().removeIf(lost -> now - lost.lastLossAt > RETENTION_MILLIS);
        LostRequests lost = lostByReplica.getOrDefault(replica.entry().run(), new LostRequests());
        if (lostByReplica.size() < MAX_REPLICAS) {
            lostByReplica.put(replica.entry().run(), lost);
        }
        lost.lastLossAt = now;
        return lost;
    }

    private void checkProcess(LiveReplica replica, LostRequests lost, Runnable onAlive) {
        Promise<Boolean> ended = replica.connections()
                .check()
                .then(result -> result == Check.REFUSED ? confirmation.apply(replica) : Promise.of(false));
        ended.whenResult(hasEnded -> {
            if (hasEnded) {
                lost.silent.forEach(lost.broken::putIfAbsent);
                reportCrash(replica, lost, "the host refuses connections");
            } else {
                onAlive.run();
            }
        });
    }

    /**
     * Records that the registry entry of a replica was removed.
     *
     * @param replica the replica
     */
    public void entryRemoved(LiveReplica replica) {
        replicaGone(replica, "the registry entry was removed");
    }

    /**
     * Records that the address of a replica is listed for another run.
     *
     * @param replica the replica that had the address before
     */
    public void addressReused(LiveReplica replica) {
        replicaGone(replica, "another run has its address");
    }

    private void replicaGone(LiveReplica replica, String reason) {
        LostRequests lost = lostByReplica.get(replica.entry().run());
        if (lost != null && clock.monotonicMillis() - lost.lastLossAt <= RETENTION_MILLIS) {
            reportCrash(replica, lost, reason);
        }
    }

    private void reportCrash(LiveReplica replica, LostRequests lost, String reason) {
        if (lost.crashed || replica.isLeaving()) {
            return;
        }
        lost.crashed = true;
        logger.atInfo()
                .with(Logs.DECISION, "replica ended")
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.REASON, reason)
                .with(Logs.INPUTS, "requestsUnderWay=" + lost.broken.keySet())
                .log("replica process ended: %s", replica.entry().id());
        lost.broken.values().forEach(attempt -> onCrash.accept(attempt, replica));
        lost.broken.clear();
    }
}
