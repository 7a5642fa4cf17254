package org.hornbeamhead.gateway.replica;

import com.google.common.flogger.FluentLogger;
import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;

/**
 * The listed replicas.
 *
 * <p>A replica may restart under the same id and keep its place in the registry. If both runs were treated as one
 * replica, prompts would be sent where their prefixes are no longer cached, orders would expect a number of accepted
 * orders that the new run has not had, and the new run would stay ejected for failures of the old one. Each run is
 * therefore a replica of its own: a later run replaces the earlier one, and entries of an earlier run are ignored, in
 * whatever order they arrive. An entry that names other software is one of another run as well, even if no start time
 * tells them apart.
 */
public final class ReplicaRegistry {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long SWEEP_INTERVAL_MILLIS = 1_000;

    private final NioReactor reactor;
    private final Clock clock;
    private final Map<String, LiveReplica> byId = new HashMap<>();
    private final Map<String, LiveReplica> byRun = new HashMap<>();
    private final Map<Integer, LiveReplica> byRunHash = new HashMap<>();
    private final Map<String, LiveReplica> byAddress = new HashMap<>();
    private final RunStatements.Archive removedRuns = new RunStatements.Archive();
    private final List<Consumer<LiveReplica>> addedListeners = new ArrayList<>();
    private final List<Consumer<LiveReplica>> removedListeners = new ArrayList<>();
    private final List<Consumer<LiveReplica>> supersededListeners = new ArrayList<>();

    /**
     * Creates an empty registry.
     *
     * @param reactor the thread's reactor
     * @param clock the clock
     */
    public ReplicaRegistry(NioReactor reactor, Clock clock) {
        this.reactor = reactor;
        this.clock = clock;
        sweep();
    }

    /**
     * Adds a listener for additions.
     *
     * @param listener called with each run of a replica that is listed from now on
     */
    public void onAdded(Consumer<LiveReplica> listener) {
        addedListeners.add(listener);
    }

    /**
     * Adds a listener for removals.
     *
     * @param listener called with each run of a replica that is removed from now on
     */
    public void onRemoved(Consumer<LiveReplica> listener) {
        removedListeners.add(listener);
    }

    /**
     * Adds a listener for replicas whose address is listed for another run, so that their process has ended, though
     * their entries are still there.
     *
     * @param listener called with each such run of a replica from now on
     */
    public void onSuperseded(Consumer<LiveReplica> listener) {
        supersededListeners.add(listener);
    }

    private void sweep() {
        byId.values().forEach(replica -> replica.connections().closeExpired());
        reactor.delayBackground(SWEEP_INTERVAL_MILLIS, this::sweep);
    }

    /**
     * Adds or updates a replica.
     *
     * @param entry the replica's entry
     * @param revision the revision at which the entry was written, for the log
     * @return false when the entry only repeats what is known of the replica
     */
    public boolean put(ReplicaEntry entry, long revision) {
        LiveReplica known = byId.get(entry.id());
        boolean renewal = known != null && known.isUnchangedBy(entry);
        if (known == null) {
            add(entry, revision);
        } else if (known.entry().startedAt() == entry.startedAt() && !known.runsSoftwareOf(entry)) {
            remove(entry.id(), revision);
            add(entry, revision);
        } else if (known.entry().startedAt() == entry.startedAt()) {
            if (known.entry().draining() != entry.draining()) {
                log("replica draining", entry, revision);
            }
            known.update(entry);
        } else if (known.entry().startedAt() < entry.startedAt()) {
            remove(entry.id(), revision);
            add(entry, revision);
        } else {
            log("earlier run passed over", entry, revision);
        }
        return !renewal;
    }

    private void add(ReplicaEntry entry, long revision) {
        Addresses.parse(entry.address())
                .peekLeft(reason ->
                        logger.atWarning().log("replica %s is ignored, its address is invalid: %s", entry.id(), reason))
                .forEach(address -> {
                    ReplicaConnectionPool connections = new ReplicaConnectionPool(reactor, clock, address);
                    LiveReplica replica = new LiveReplica(entry, connections, removedRuns.take(entry.run()));
                    byId.put(entry.id(), replica);
                    byRun.put(entry.run(), replica);
                    byRunHash.put(replica.runHash(), replica);
                    log("replica listed", entry, revision);
                    Optional.ofNullable(byAddress.put(entry.address(), replica))
                            .ifPresent(former -> supersededListeners.forEach(l -> l.accept(former)));
                    addedListeners.forEach(l -> l.accept(replica));
                });
    }

    /**
     * Removes a replica whose entry was deleted. Its requests in progress continue.
     *
     * @param id the replica
     * @param revision the revision at which the entry was deleted, for the log
     */
    public void remove(String id, long revision) {
        LiveReplica removed = byId.remove(id);
        if (removed != null) {
            byRun.remove(removed.entry().run());
            byRunHash.remove(removed.runHash());
            byAddress.remove(removed.entry().address(), removed);
            removed.connections().close();
            removedRuns.add(removed.entry().run(), removed.statements(), clock.monotonicMillis());
            log("replica gone", removed.entry(), revision);
            removedListeners.forEach(l -> l.accept(removed));
        }
    }

    /**
     * Excludes a replica whose entry cannot be read from new requests, until a readable entry arrives. Its state is
     * kept.
     *
     * @param id the replica
     * @param revision the revision at which the entry was written, for the log
     */
    public void markEntryInvalid(String id, long revision) {
        LiveReplica known = byId.get(id);
        if (known != null) {
            known.markEntryInvalid();
            log("replica withheld", known.entry(), revision);
        }
    }

    private static void log(String decision, ReplicaEntry entry, long revision) {
        logger.atInfo()
                .with(Logs.DECISION, decision)
                .with(Logs.REPLICA, entry.id())
                .with(
                        Logs.INPUTS,
                        "service=" + entry.service() + " address=" + entry.address() + " startedAt=" + entry.startedAt()
                                + " software=" + entry.softwareVersion() + " revision=" + revision)
                .log("%s: %s", decision, entry.id());
    }

    /**
     * Looks up a run of a replica.
     *
     * @param run the name of the run
     * @return the replica, empty when that run is not listed
     */
    public Optional<LiveReplica> byRun(String run) {
        return Optional.ofNullable(byRun.get(run));
    }

    /**
     * Looks up a run of a replica by the hash of its name.
     *
     * @param hash the hash
     * @return the replica, empty when that run is not listed
     */
    public Optional<LiveReplica> byRunHash(int hash) {
        return Optional.ofNullable(byRunHash.get(hash));
    }

    /**
     * Returns the replicas of a service.
     *
     * @param service the service
     * @return all that are listed, including those that are not available
     */
    public List<LiveReplica> replicas(String service) {
        return byId.values().stream()
                .filter(replica -> replica.entry().service().equals(service))
                .toList();
    }

    /**
     * Returns all replicas.
     *
     * @return the replicas, including those that drain
     */
    public Collection<LiveReplica> all() {
        return List.copyOf(byId.values());
    }
}
