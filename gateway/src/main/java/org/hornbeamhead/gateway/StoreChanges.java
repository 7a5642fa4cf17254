package org.hornbeamhead.gateway;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Try;
import java.util.Arrays;
import java.util.Optional;
import org.hornbeamhead.core.crash.CrashFeature;
import org.hornbeamhead.core.crash.CrashHistoryPersister;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.gateway.duty.LeaderTasks;
import org.hornbeamhead.gateway.quarantine.Quarantine;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.FleetSizeRecorder;
import org.hornbeamhead.gateway.state.RouterEntry;
import org.hornbeamhead.gateway.state.RouterList;
import org.hornbeamhead.gateway.state.RoutingState;
import org.hornbeamhead.gateway.state.SoftwareVersionRecorder;
import org.hornbeamhead.gateway.state.StoreView;
import org.hornbeamhead.gateway.state.WeightsListener;

/** Applies changes of the store to what the router knows. */
final class StoreChanges {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Dependencies dependencies;

    /**
     * The dependencies.
     *
     * @param timers the timers of the current thread
     * @param documents parses the items in the store
     * @param mirror the mirror of the store
     * @param state the current configuration
     * @param registry the replicas
     * @param routers the routers
     * @param weightsListener receives published weights
     * @param quarantine receives the crash reports that routers have saved
     * @param softwareRecorder receives the recorded software versions
     * @param storeView records changes for other routers
     * @param leaderTasks is told that there may be work
     * @param onFirstConfiguration called when the first configuration is in force
     */
    record Dependencies(
            Timers timers,
            PlatformDocumentParser documents,
            StoreMirror mirror,
            RoutingState state,
            ReplicaRegistry registry,
            RouterList routers,
            WeightsListener weightsListener,
            Quarantine quarantine,
            SoftwareVersionRecorder softwareRecorder,
            StoreView storeView,
            LeaderTasks leaderTasks,
            Runnable onFirstConfiguration) {}

    StoreChanges(Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Applies a change of the store. A failure is logged and skipped, so that one invalid key does not keep the router
     * from processing the others.
     */
    void apply(StoreItem item) {
        Try.run(() -> processChange(item)).onFailure(e -> logger.atSevere()
                .withCause(e)
                .with(Logs.INPUTS, "revision=" + item.revision())
                .log("key %s cannot be applied and is skipped", item.key()));
    }

    private void processChange(StoreItem item) {
        if (applyChange(item)) {
            dependencies.storeView().recordChange(item);
            dependencies.leaderTasks().wakeUp();
        }
    }

    /** Applies a change, and returns whether it contains anything that other routers have to learn. */
    private boolean applyChange(StoreItem item) {
        if (item.key().startsWith(RouterEntry.PREFIX)) {
            applyRouterChange(item);
            return true;
        }
        if (item.key().equals(FleetSizeRecorder.KEY)) {
            dependencies.routers().updateFleetSize(item);
            return true;
        }
        if (item.key().equals(SoftwareVersionRecorder.KEY)) {
            dependencies.softwareRecorder().apply(item);
            return true;
        }
        Optional<CrashFeature.Kind> crashes = Arrays.stream(CrashFeature.Kind.values())
                .filter(kind -> item.key().equals(CrashHistoryPersister.key(kind)))
                .findFirst();
        if (crashes.isPresent()) {
            dependencies.quarantine().mergeStoredHistory(item, crashes.get());
            return true;
        }
        switch (dependencies.documents().kind(item.key())) {
            case CONFIGURATION -> dependencies
                    .documents()
                    .parseConfiguration(item)
                    .peekLeft(reason -> logUnreadable(item, reason))
                    .forEach(config -> applyConfiguration(config, item.revision()));
            case WEIGHTS -> dependencies
                    .documents()
                    .parseWeights(item)
                    .peekLeft(reason -> logUnreadable(item, reason))
                    .forEach(published -> dependencies
                            .weightsListener()
                            .versionPublished(published.model(), published.version(), item.revision()));
            case REPLICA -> {
                return applyReplicaChange(item);
            }
            default -> logger.atFine().log("key %s is not relevant to routers", item.key());
        }
        return true;
    }

    private void applyConfiguration(RoutingConfig config, long revision) {
        boolean isFirst = dependencies.state().config().isEmpty();
        dependencies.state().accept(config, revision);
        if (isFirst) {
            dependencies.onFirstConfiguration().run();
        }
    }

    private static void logUnreadable(StoreItem item, String reason) {
        logger.atWarning()
                .with(Logs.REASON, reason)
                .with(Logs.INPUTS, "revision=" + item.revision())
                .log("key %s cannot be parsed and is skipped", item.key());
    }

    /** Applies a replica's entry, and returns whether it is more than a renewal. */
    private boolean applyReplicaChange(StoreItem item) {
        String id = dependencies.documents().replicaId(item.key());
        if (item.removed()) {
            applyRemoval(item, () -> dependencies.registry().remove(id, item.revision()));
            return true;
        }
        return dependencies
                .documents()
                .parseReplica(item)
                .fold(
                        reason -> {
                            logUnreadable(item, reason);
                            dependencies.registry().markEntryInvalid(id, item.revision());
                            return true;
                        },
                        entry -> dependencies.registry().put(entry, item.revision()));
    }

    private void applyRouterChange(StoreItem item) {
        if (item.removed()) {
            applyRemoval(item, () -> dependencies.routers().update(item));
        } else {
            dependencies.routers().update(item);
        }
    }

    /** Applies a removal at once, or after the time in which an outage of the store may turn out to be its cause. */
    private void applyRemoval(StoreItem removal, Runnable removalAction) {
        long delayMillis = dependencies.storeView().relistMillis();
        if (delayMillis == 0 || isInitialRead()) {
            removalAction.run();
            return;
        }
        dependencies.timers().schedule(delayMillis, () -> {
            if (dependencies.mirror().get(removal.key()).isEmpty()) {
                removalAction.run();
            }
        });
    }

    private boolean isInitialRead() {
        return dependencies.mirror().revision() == 0;
    }
}
