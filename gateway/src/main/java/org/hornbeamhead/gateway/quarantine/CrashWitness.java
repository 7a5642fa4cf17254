package org.hornbeamhead.gateway.quarantine;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.replica.LiveReplica;

/**
 * Finds out which requests were under way at a replica when its process ended.
 *
 * <p>A connection may break though the replica goes on: its answer was bad, or something between has reset it. The
 * replica has ended when it refuses a new connection, or when its registry entry goes soon afterwards. A replica that
 * announced its end is no witness against a request.
 *
 * <p>Owned by one thread.
 */
public final class CrashWitness {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** A process that dies may close its connections a moment before its listener. */
    private static final long SECOND_CHECK_MILLIS = 100;
    /** A registry drops a silent replica after three heartbeats. */
    private static final long REMEMBERED_MILLIS = 5_000;
    /** Replicas with lost requests that are remembered at once; bounds the memory. */
    private static final int MAX_REPLICAS = 512;
    /** Requests that are remembered for one replica; more than its slots and its queue. */
    private static final int MAX_REQUESTS = 256;

    private final Clock clock;
    private final Timers timers;
    private final BiConsumer<RequestFingerprint, LiveReplica> onCrash;
    private final Map<String, Loss> losses = new HashMap<>();

    /** What was lost at one run of a replica. */
    private static final class Loss {
        private final Set<RequestFingerprint> requests = new HashSet<>();
        private long lastAt;
        private boolean checking;
        private boolean ended;
    }

    /**
     * Makes a witness that has seen nothing.
     *
     * @param clock the clock
     * @param timers the thread's timers
     * @param onCrash takes each request that was under way at a replica that ended, and the replica
     */
    public CrashWitness(Clock clock, Timers timers, BiConsumer<RequestFingerprint, LiveReplica> onCrash) {
        this.clock = clock;
        this.timers = timers;
        this.onCrash = onCrash;
    }

    /**
     * Notes that the connection of a request broke.
     *
     * @param request the request
     * @param replica where it was under way
     */
    public void broken(RequestFingerprint request, LiveReplica replica) {
        if (replica.entry().draining()) {
            return;
        }
        Loss loss = note(request, replica);
        if (!loss.checking && !loss.ended) {
            loss.checking = true;
            check(
                    replica,
                    loss,
                    () -> timers.schedule(
                            SECOND_CHECK_MILLIS, () -> check(replica, loss, () -> loss.checking = false)));
        }
    }

    /**
     * Notes that a request was given up while its replica was silent: whether the replica has ended shows later.
     *
     * @param request the request
     * @param replica where it was under way
     */
    public void silent(RequestFingerprint request, LiveReplica replica) {
        if (!replica.entry().draining()) {
            note(request, replica);
        }
    }

    private Loss note(RequestFingerprint request, LiveReplica replica) {
        long now = clock.monotonicMillis();
        losses.values().removeIf(l -> now - l.lastAt > REMEMBERED_MILLIS);
        Loss loss = losses.getOrDefault(replica.entry().run(), new Loss());
        if (losses.size() < MAX_REPLICAS) {
            losses.put(replica.entry().run(), loss);
        }
        loss.lastAt = now;
        if (loss.ended) {
            onCrash.accept(request, replica);
        } else if (loss.requests.size() < MAX_REQUESTS) {
            loss.requests.add(request);
        }
        return loss;
    }

    private void check(LiveReplica replica, Loss loss, Runnable otherwise) {
        replica.connections().refused().whenResult(refused -> {
            if (refused) {
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
        boolean lately = loss != null && clock.monotonicMillis() - loss.lastAt <= REMEMBERED_MILLIS;
        if (lately && !replica.entry().draining()) {
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
                .with(Logs.INPUTS, "requestsUnderWay=" + loss.requests)
                .log("replica %s ended", replica.entry().id());
        loss.requests.forEach(r -> onCrash.accept(r, replica));
        loss.requests.clear();
    }
}
