package org.hornbeamhead.gateway.quarantine;

import com.google.common.flogger.FluentLogger;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.hornbeamhead.core.crash.CrashFeature;
import org.hornbeamhead.core.crash.CrashGossip;
import org.hornbeamhead.core.crash.CrashHistory;
import org.hornbeamhead.core.crash.CrashHistoryPersister;
import org.hornbeamhead.core.crash.LostAttempt;
import org.hornbeamhead.core.crash.RequestFingerprint;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.PeerDatagrams;
import org.hornbeamhead.gateway.state.PlatformStore;

/**
 * Quarantines requests that crash replicas, identified by their content or by a part of their prompts. Requests are not
 * fingerprinted while no replica has crashed recently.
 */
public final class Quarantine {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** The largest share by which a router extends a quarantine, so that routers do not end it together. */
    private static final double MAX_STAGGER = 0.5;

    private final CrashHistory history;
    private final CrashGossip gossip;
    private final Map<CrashFeature.Kind, CrashHistoryPersister> persisters = new EnumMap<>(CrashFeature.Kind.class);
    private final CrashDetector detector;
    private final Dependencies dependencies;
    private Runnable onQuarantined = () -> {};
    private boolean reviewScheduled;

    /**
     * The dependencies of a quarantine.
     *
     * @param clock the clock
     * @param timers the timers of the current thread
     * @param random the source of randomness
     * @param store the platform's store
     * @param registry the replicas
     * @param datagrams the socket for datagrams between routers
     * @param peers the other routers
     * @param confirmation confirms the end of a replica whose host refuses connections
     * @param metrics the metrics of the process
     */
    public record Dependencies(
            Clock clock,
            Timers timers,
            Random random,
            PlatformStore store,
            ReplicaRegistry registry,
            PeerDatagrams datagrams,
            CrashGossip.Peers peers,
            CrashConfirmation confirmation,
            Metrics metrics) {}

    /**
     * Creates a quarantine without requests.
     *
     * @param dependencies the dependencies
     */
    public Quarantine(Dependencies dependencies) {
        this.dependencies = dependencies;
        history = new CrashHistory(
                dependencies.clock(),
                MAX_STAGGER * dependencies.random().nextDouble(),
                () -> 1 + dependencies.peers().all().get().size());
        gossip = new CrashGossip(
                history,
                dependencies.clock(),
                dependencies.timers(),
                dependencies.random(),
                dependencies.peers(),
                dependencies.datagrams()::send);
        Arrays.stream(CrashFeature.Kind.values()).forEach(kind -> persisters.put(kind, createPersister(kind)));
        detector = new CrashDetector(
                dependencies.clock(), dependencies.timers(), dependencies.confirmation()::confirm, this::recordCrash);
    }

    private CrashHistoryPersister createPersister(CrashFeature.Kind kind) {
        return new CrashHistoryPersister(
                dependencies.clock(),
                dependencies.timers(),
                dependencies.random(),
                (revision, value) -> writeHistory(CrashHistoryPersister.key(kind), revision, value),
                history,
                kind);
    }

    /** Starts to follow the removal of replicas and the crash reports of other routers. */
    public void start() {
        history.setListener(this::historyChanged);
        dependencies.registry().onRemoved(detector::entryRemoved);
        dependencies.registry().onSuperseded(detector::addressReused);
        dependencies.datagrams().addListener((from, bytes) -> gossip.receive(bytes));
        dependencies.metrics().gauge("hornbeam_requests_held_back", history::quarantinedCount);
    }

    /**
     * Registers a listener for quarantines.
     *
     * @param listener called when requests in progress may have been quarantined
     */
    public void onQuarantined(Runnable listener) {
        onQuarantined = listener;
    }

    /** Reviews the requests in progress once after all changes that a crash brings. */
    private void historyChanged(CrashFeature feature) {
        gossip.reportChanged(feature);
        history.report(feature).stream()
                .flatMap(report -> report.crashes().stream())
                .flatMap(crash -> dependencies.registry().byRunHash(crash.replica()).stream())
                .forEach(LiveReplica::markCrashed);
        if (!reviewScheduled) {
            reviewScheduled = true;
            dependencies.timers().schedule(0, this::review);
        }
    }

    private void review() {
        reviewScheduled = false;
        if (history.quarantinedCount() > 0) {
            onQuarantined.run();
        }
    }

    private void recordCrash(LostAttempt attempt, LiveReplica replica) {
        dependencies.metrics().count("hornbeam_requests_at_crash");
        history.recordCrash(attempt, replica.runHash());
        persisters.values().forEach(CrashHistoryPersister::crashRecorded);
    }

    /**
     * Merges the crash reports that routers have saved in the store.
     *
     * @param item the item
     * @param kind the kind of features that the key of the item is for
     */
    public void mergeStoredHistory(StoreItem item, CrashFeature.Kind kind) {
        if (!persisters.get(kind).mergeStored(item.revision(), item.value())) {
            logger.atWarning()
                    .with(Logs.INPUTS, "revision=" + item.revision())
                    .log("key %s cannot be decoded and is ignored", item.key());
        }
    }

    private CompletionStage<CrashHistoryPersister.Reply> writeHistory(String key, long expectedRevision, String value) {
        return dependencies
                .store()
                .write(key, OptionalLong.of(expectedRevision), value, Optional.empty())
                .map(Quarantine::toPersisterReply)
                .toCompletableFuture();
    }

    private static CrashHistoryPersister.Reply toPersisterReply(PlatformStore.WriteReply reply) {
        if (reply instanceof PlatformStore.WriteReply.Written written) {
            return new CrashHistoryPersister.Reply.Written(written.revision());
        }
        if (reply instanceof PlatformStore.WriteReply.Conflict conflict) {
            return conflict.current()
                    .map(item -> new CrashHistoryPersister.Reply.Conflict(item.revision(), item.value()))
                    .orElseGet(() -> new CrashHistoryPersister.Reply.Conflict(0, ""));
        }
        return new CrashHistoryPersister.Reply.Failed();
    }

    /**
     * Returns how long a request remains quarantined.
     *
     * @param fingerprint computes the fingerprint of the request
     * @return the remaining time, in milliseconds; empty when the request may run
     */
    public OptionalLong remainingMillis(Supplier<RequestFingerprint> fingerprint) {
        return history.quarantineMillis(fingerprint);
    }

    /**
     * Lets a quarantined request run once if its end shows which of several features crashes replicas.
     *
     * @param fingerprint the fingerprint of the request
     * @return true if it may run
     */
    public boolean admitAsTest(RequestFingerprint fingerprint) {
        return history.admitAsTest(fingerprint);
    }

    /**
     * Returns whether the end of a quarantined request shows which of several features crashes replicas.
     *
     * @param fingerprint the fingerprint of the request
     * @return true if it should not be withdrawn from its replica
     */
    public boolean isTest(RequestFingerprint fingerprint) {
        return history.isTest(fingerprint);
    }

    /**
     * Records that a request completed.
     *
     * @param fingerprint computes the fingerprint of the request
     */
    public void requestCompleted(Supplier<RequestFingerprint> fingerprint) {
        if (!history.isEmpty()) {
            history.recordCompletion(fingerprint.get());
        }
    }

    /**
     * Records that a replica survived a request.
     *
     * @param fingerprint computes the fingerprint of the request
     * @param startedAtMillis the monotonic time at which the request began to run
     */
    public void replicaSurvived(Supplier<RequestFingerprint> fingerprint, long startedAtMillis) {
        if (!history.isEmpty()) {
            history.recordSurvival(fingerprint.get(), startedAtMillis);
        }
    }

    /**
     * Returns whether anything is to be learned from requests that replicas survive.
     *
     * @return false while no crash is recorded
     */
    public boolean isWatching() {
        return !history.isEmpty();
    }

    /**
     * Records that the connection of a request broke.
     *
     * @param attempt the lost attempt
     * @param replica the replica that ran it
     */
    public void connectionBroken(LostAttempt attempt, LiveReplica replica) {
        detector.connectionBroken(attempt, replica);
    }

    /**
     * Records that a request was abandoned while its replica was silent.
     *
     * @param attempt the lost attempt
     * @param replica the replica that ran it
     */
    public void replicaSilent(LostAttempt attempt, LiveReplica replica) {
        detector.replicaSilent(attempt, replica);
    }
}
