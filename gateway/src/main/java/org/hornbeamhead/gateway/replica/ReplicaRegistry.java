package org.hornbeamhead.gateway.replica;

import com.google.common.flogger.FluentLogger;
import io.activej.reactor.nio.NioReactor;
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
 * The replicas that are listed.
 *
 * <p>Failure: a replica starts again under the id that it had, and keeps its place in the registry. Symptom: prompts go
 * where their beginnings no longer are, orders name a number of earlier orders that the new run has not had, and the
 * failures of the old run leave the new one out. Each run is a replica of its own here: a later start takes the place
 * of the one before, and news of an earlier start is dropped, in whatever order they come.
 */
public final class ReplicaRegistry {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long SWEEP_MILLIS = 1_000;

    private final NioReactor reactor;
    private final Clock clock;
    private final Map<String, LiveReplica> replicas = new HashMap<>();
    private final Map<String, LiveReplica> byRun = new HashMap<>();
    private final Map<Integer, LiveReplica> byHash = new HashMap<>();
    private Consumer<LiveReplica> onGone = r -> {};

    /**
     * Makes an empty registry.
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
     * Tells of each run of a replica that is dropped from now on.
     *
     * @param listener takes it
     */
    public void onGone(Consumer<LiveReplica> listener) {
        onGone = listener;
    }

    private void sweep() {
        replicas.values().forEach(r -> r.connections().closeStale());
        reactor.delayBackground(SWEEP_MILLIS, this::sweep);
    }

    /**
     * Takes over an entry.
     *
     * @param entry the entry
     * @param revision the revision at which it was written, for the log
     * @return false when it only renews what is known of the replica
     */
    public boolean put(ReplicaEntry entry, long revision) {
        LiveReplica known = replicas.get(entry.id());
        boolean renewal = known != null && known.isRenewedBy(entry);
        if (known == null) {
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
                .peekLeft(why -> logger.atWarning().log("replica %s is left out: %s", entry.id(), why))
                .forEach(address -> {
                    ReplicaConnections connections = new ReplicaConnections(reactor, clock, address);
                    LiveReplica live = new LiveReplica(entry, connections);
                    replicas.put(entry.id(), live);
                    byRun.put(entry.run(), live);
                    byHash.put(live.hash(), live);
                    log("replica listed", entry, revision);
                });
    }

    /**
     * Drops a replica whose entry is gone. Requests under way there go on.
     *
     * @param id the replica
     * @param revision the revision at which the entry went, for the log
     */
    public void remove(String id, long revision) {
        LiveReplica gone = replicas.remove(id);
        if (gone != null) {
            byRun.remove(gone.entry().run());
            byHash.remove(gone.hash());
            gone.connections().retire();
            log("replica gone", gone.entry(), revision);
            onGone.accept(gone);
        }
    }

    /**
     * Sends nothing more to a replica whose entry cannot be read, until a good entry comes. What is known of it stays.
     *
     * @param id the replica
     * @param revision the revision at which the entry was written, for the log
     */
    public void withhold(String id, long revision) {
        LiveReplica known = replicas.get(id);
        if (known != null) {
            known.withhold();
            log("replica withheld", known.entry(), revision);
        }
    }

    private static void log(String what, ReplicaEntry entry, long revision) {
        logger.atInfo()
                .with(Logs.DECISION, what)
                .with(Logs.REPLICA, entry.id())
                .with(
                        Logs.INPUTS,
                        "service=" + entry.service() + " address=" + entry.address() + " startedAt=" + entry.startedAt()
                                + " revision=" + revision)
                .log("%s: %s", what, entry.id());
    }

    /**
     * Finds a run of a replica.
     *
     * @param run its name
     * @return the replica, empty when that run is not listed
     */
    public Optional<LiveReplica> get(String run) {
        return Optional.ofNullable(byRun.get(run));
    }

    /**
     * Finds a run of a replica by the hash of its name.
     *
     * @param hash the hash
     * @return the replica, empty when none is listed
     */
    public Optional<LiveReplica> byHash(int hash) {
        return Optional.ofNullable(byHash.get(hash));
    }

    /**
     * Lists the replicas of a service that take work.
     *
     * @param service the service
     * @return the replicas, those that failed lately included
     */
    public List<LiveReplica> of(String service) {
        return replicas.values().stream()
                .filter(r -> r.entry().service().equals(service) && r.takesWork())
                .toList();
    }

    /**
     * Lists all replicas.
     *
     * @return the replicas, those that leave included
     */
    public Collection<LiveReplica> all() {
        return List.copyOf(replicas.values());
    }
}
