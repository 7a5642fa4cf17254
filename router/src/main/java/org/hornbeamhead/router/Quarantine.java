package org.hornbeamhead.router;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.hornbeamhead.core.crash.CrashFeature;
import org.hornbeamhead.core.crash.CrashGossip;
import org.hornbeamhead.core.crash.CrashHistory;
import org.hornbeamhead.core.crash.CrashHistoryPersister;
import org.hornbeamhead.core.crash.LostAttempt;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreReply;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;

/**
 * Which requests may not run, since replicas ended under them. Routers tell one another what they saw, and keep it in
 * the platform's store for the case that all of them start anew. Owned by the reactor's thread.
 */
final class Quarantine {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long READ_AGAIN_MILLIS = 1_000;
    /** A replica is back some seconds after its end, so ends of one address that lie closer together are the same. */
    private static final long ONE_END_MILLIS = 2_000;

    private final Clock clock;
    private final Timers timers;
    private final KeyValueStore store;
    private final Metrics metrics;
    private final CrashHistory history;
    private final CrashGossip gossip;
    private final CrashHistoryPersister archive;

    Quarantine(
            Clock clock,
            Timers timers,
            KeyValueStore store,
            Metrics metrics,
            Supplier<List<String>> otherRouters,
            BiConsumer<String, byte[]> send) {
        this.clock = clock;
        this.timers = timers;
        this.store = store;
        this.metrics = metrics;
        Random random = new Random();
        history = new CrashHistory(clock);
        CrashGossip.Peers audience = new CrashGossip.Peers(otherRouters, otherRouters);
        gossip = new CrashGossip(history, clock, timers, random, audience, send);
        archive = new CrashHistoryPersister(clock, timers, random, this::write, history, CrashFeature.Kind.CONTENT);
    }

    /** Starts to tell, and reads what former routers have kept. */
    void start() {
        history.setListener(gossip::reportChanged);
        metrics.gauge("hornbeam_requests_held_back", history::quarantinedCount);
        readKept();
    }

    /** Takes news of another router. */
    void receive(byte[] datagram) {
        gossip.receive(datagram);
    }

    /** Decides how long a request is held back from now on, in milliseconds; empty when it may run. */
    OptionalLong heldMillis(Supplier<RequestFingerprint> request) {
        return history.quarantineMillis(request);
    }

    /** A replica ran the request to its end. */
    void completed(Supplier<RequestFingerprint> request) {
        if (!history.isEmpty()) {
            history.recordCompletion(request.get());
        }
    }

    /** A replica ended while a request was under way there. */
    void crashed(LostAttempt run, String address) {
        logger.atInfo()
                .with(Logs.DECISION, "replica ended")
                .with(Logs.REPLICA, address)
                .with(Logs.INPUTS, "content=" + run.request())
                .log("replica %s ended", address);
        metrics.count("hornbeam_requests_at_crash");
        history.recordCrash(run, (address + '@' + clock.wallMillis() / ONE_END_MILLIS).hashCode());
        archive.crashRecorded();
    }

    private void readKept() {
        store.read(CrashHistoryPersister.CONTENT_KEY).thenAccept(reply -> {
            if (reply instanceof StoreReply.Found found) {
                kept(found.entry().version(), found.entry().value());
            } else if (!(reply instanceof StoreReply.Missing)) {
                timers.schedule(READ_AGAIN_MILLIS, this::readKept);
            }
        });
    }

    private void kept(long version, String value) {
        if (!archive.mergeStored(version, value)) {
            logger.atWarning()
                    .with(Logs.INPUTS, "version=" + version)
                    .log("key %s cannot be read and is passed over", CrashHistoryPersister.CONTENT_KEY);
        }
    }

    private CompletionStage<CrashHistoryPersister.Reply> write(long expectedVersion, String value) {
        return store.compareAndSwap(CrashHistoryPersister.CONTENT_KEY, expectedVersion, value, Optional.empty())
                .thenApply(Quarantine::reply);
    }

    private static CrashHistoryPersister.Reply reply(StoreReply reply) {
        if (reply instanceof StoreReply.Found found) {
            return new CrashHistoryPersister.Reply.Written(found.entry().version());
        }
        if (reply instanceof StoreReply.Conflict conflict) {
            return conflict.current()
                    .map(entry -> new CrashHistoryPersister.Reply.Conflict(entry.version(), entry.value()))
                    .orElseGet(() -> new CrashHistoryPersister.Reply.Conflict(KeyValueStore.ABSENT, ""));
        }
        return new CrashHistoryPersister.Reply.Failed();
    }
}
