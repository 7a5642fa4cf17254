package org.hornbeamhead.gateway.quarantine;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
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
 * Quarantines requests that crash replicas, identified by their content. Request content is not fingerprinted while no
 * replica has crashed recently.
 */
public final class Quarantine {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final CrashHistory history;
    private final CrashGossip gossip;
    private final CrashHistoryPersister persister;
    private final CrashDetector detector;
    private final Dependencies dependencies;
    private Consumer<RequestFingerprint> onQuarantined = fingerprint -> {};

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
        history = new CrashHistory(dependencies.clock());
        gossip = new CrashGossip(
                history,
                dependencies.clock(),
                dependencies.timers(),
                dependencies.random(),
                dependencies.peers(),
                dependencies.datagrams()::send);
        persister = new CrashHistoryPersister(
                dependencies.clock(), dependencies.timers(), dependencies.random(), this::writeHistory, history);
        detector = new CrashDetector(
                dependencies.clock(), dependencies.timers(), dependencies.confirmation()::confirm, this::recordCrash);
    }

    /** Starts to follow the removal of replicas and the crash reports of other routers. */
    public void start() {
        history.setListener(this::historyChanged);
        dependencies.registry().onRemoved(detector::entryRemoved);
        dependencies.datagrams().addListener((from, bytes) -> gossip.receive(bytes));
        dependencies.metrics().gauge("hornbeam_requests_held_back", history::quarantinedCount);
    }

    /**
     * Registers a listener for quarantined requests. It is called for each newly quarantined request, and again
     * whenever more is known about it.
     *
     * @param listener receives the fingerprint of the request
     */
    public void onQuarantined(Consumer<RequestFingerprint> listener) {
        onQuarantined = listener;
    }

    private void historyChanged(RequestFingerprint fingerprint) {
        gossip.reportChanged(fingerprint);
        if (history.quarantineMillis(fingerprint).isPresent()) {
            onQuarantined.accept(fingerprint);
        }
    }

    private void recordCrash(LostAttempt attempt, LiveReplica replica) {
        dependencies.metrics().count("hornbeam_requests_at_crash");
        history.recordCrash(attempt, replica.runHash());
        persister.crashRecorded();
    }

    /**
     * Merges the crash reports that routers have saved in the store.
     *
     * @param item the item under {@link CrashHistoryPersister#KEY}
     */
    public void mergeStoredHistory(StoreItem item) {
        if (!persister.mergeStored(item.revision(), item.value())) {
            logger.atWarning()
                    .with(Logs.INPUTS, "revision=" + item.revision())
                    .log("key %s cannot be decoded and is ignored", item.key());
        }
    }

    private CompletionStage<CrashHistoryPersister.Reply> writeHistory(long expectedRevision, String value) {
        return dependencies
                .store()
                .write(CrashHistoryPersister.KEY, OptionalLong.of(expectedRevision), value, Optional.empty())
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
     * Records that a request ran to its end.
     *
     * @param fingerprint computes the fingerprint of the request
     */
    public void requestCompleted(Supplier<RequestFingerprint> fingerprint) {
        history.recordCompletion(fingerprint);
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
