package org.hornbeamhead.gateway.quarantine;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.hornbeamhead.core.crash.LostRun;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.replica.LiveReplica;

/**
 * Finds out which requests were under way at a replica when its process ended.
 *
 * <p>A connection may break though the replica goes on: its answer was bad, or something between has reset it. The
 * process has ended when its host refuses a new connection, or when its registry entry goes soon afterwards. A replica
 * that announced its end is no witness against a request, and neither is one whose host is silent as a whole: what
 * became of that host has nothing to do with its requests.
 *
 * <p>Owned by one thread.
 */
public final class CrashWitness {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** A process that dies may close its connections a moment before its listener. */
    static final long SECOND_CHECK_MILLIS = 50;
    /** A registry drops a silent replica after three heartbeats. */
    private static final long REMEMBERED_MILLIS = 5_000;
    /** Requests that are given up while their replica is silent ask for one new connection in this time. */
    private static final long SILENT_CHECK_MILLIS = 1_000;
    /** Replicas with lost requests that are remembered at once; bounds the memory. */
    private static final int MAX_REPLICAS = 512;
    /** Requests that are remembered for one replica; more than its slots and its queue. */
    private static final int MAX_REQUESTS = 256;

    private final Clock clock;
    private final Timers timers;
    private final BiConsumer<LostRun, LiveReplica> onCrash;
    private final Map<String, Loss> losses = new HashMap<>();

    /** What was lost at one run of a replica. */
    private static final class Loss {
        private final Map<RequestFingerprint, LostRun> broken = new HashMap<>();
        private final Map<RequestFingerprint, LostRun> silent = new HashMap<>();
        private long lastAt;
        private long silentCheckAt = Long.MIN_VALUE / 2;
        private boolean checking;
        private boolean unchecked;
        private boolean ended;
    }

    /**
     * Makes a witness that has seen nothing.
     *
     * @param clock the clock
     * @param timers the thread's timers
     * @param onCrash takes each run that was under way at a replica that ended, and the replica
     */
    public CrashWitness(Clock clock, Timers timers, BiConsumer<LostRun, LiveReplica> onCrash) {
        this.clock = clock;
        this.timers = timers;
        this.onCrash = onCrash;
    }

    /**
     * Notes that the connection of a request broke.
     *
     * @param run the run of the request
     * @param replica where it was under way
     */
    public void broken(LostRun run, LiveReplica replica) {
        if (replica.entry().draining()) {
            return;
        }
        Loss loss = loss(replica);
        if (loss.ended) {
            onCrash.accept(run, replica);
        } else if (loss.broken.size() < MAX_REQUESTS) {
            loss.broken.putIfAbsent(run.request(), run);
            loss.unchecked = true;
            if (!loss.checking) {
                checkTwice(replica, loss);
            }
        }
    }

    /** Requests that are lost meanwhile are checked together, when these checks are over. */
    private void checkTwice(LiveReplica replica, Loss loss) {
        loss.checking = true;
        loss.unchecked = false;
        check(
                replica,
                loss,
                () -> timers.schedule(
                        SECOND_CHECK_MILLIS,
                        () -> check(replica, loss, () -> {
                            loss.checking = false;
                            if (loss.unchecked) {
                                checkTwice(replica, loss);
                            }
                        })));
    }

    /**
     * Notes that a request was given up while its replica was silent: the process may have ended unheard.
     *
     * @param run the run of the request
     * @param replica where it was under way
     */
    public void silent(LostRun run, LiveReplica replica) {
        if (replica.entry().draining()) {
            return;
        }
        Loss loss = loss(replica);
        if (loss.ended) {
            onCrash.accept(run, replica);
        } else if (loss.silent.size() < MAX_REQUESTS) {
            loss.silent.putIfAbsent(run.request(), run);
            if (loss.lastAt - loss.silentCheckAt >= SILENT_CHECK_MILLIS) {
                loss.silentCheckAt = loss.lastAt;
                check(replica, loss, loss.silent::clear);
            }
        }
    }

    private Loss loss(LiveReplica replica) {
        long now = clock.monotonicMillis();
        losses.values().removeIf(l -> now - l.lastAt > REMEMBERED_MILLIS);
        Loss loss = losses.getOrDefault(replica.entry().run(), new Loss());
        if (losses.size() < MAX_REPLICAS) {
            losses.put(replica.entry().run(), loss);
        }
        loss.lastAt = now;
        return loss;
    }

    private void check(LiveReplica replica, Loss loss, Runnable otherwise) {
        replica.connections().refusesConnections().whenResult(refused -> {
            if (refused) {
                loss.silent.forEach(loss.broken::putIfAbsent);
                ended(replica, loss, "it refuses connections");
            } else {
                otherwise.run();
            }
        });
    }

    /**
     * Notes that a replica's registry entry has gone.
     *
     * @param replica the replica
     */
    public void gone(LiveReplica replica) {
        Loss loss = losses.get(replica.entry().run());
        if (loss != null && clock.monotonicMillis() - loss.lastAt <= REMEMBERED_MILLIS) {
            ended(replica, loss, "its entry has gone");
        }
    }

    private void ended(LiveReplica replica, Loss loss, String why) {
        if (loss.ended || replica.entry().draining()) {
            return;
        }
        loss.ended = true;
        logger.atInfo()
                .with(Logs.DECISION, "replica ended")
                .with(Logs.REPLICA, replica.entry().id())
                .with(Logs.REASON, why)
                .with(Logs.INPUTS, "requestsUnderWay=" + loss.broken.keySet())
                .log("replica %s ended", replica.entry().id());
        loss.broken.values().forEach(r -> onCrash.accept(r, replica));
        loss.broken.clear();
    }
}
