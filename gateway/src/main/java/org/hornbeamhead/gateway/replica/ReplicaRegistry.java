package org.hornbeamhead.gateway.replica;

import com.google.common.flogger.FluentLogger;
import io.activej.reactor.nio.NioReactor;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamhead.core.replica.ReplicaEntry;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Logs;

/** The replicas that are listed, by their ids. */
public final class ReplicaRegistry {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long SWEEP_MILLIS = 1_000;

    private final NioReactor reactor;
    private final Clock clock;
    private final Map<String, LiveReplica> replicas = new HashMap<>();
    private final Map<Integer, LiveReplica> byHash = new HashMap<>();

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

    private void sweep() {
        replicas.values().forEach(r -> r.connections().closeStale());
        reactor.delayBackground(SWEEP_MILLIS, this::sweep);
    }

    /**
     * Takes over an entry.
     *
     * @param entry the entry
     * @param revision the revision at which it was written, for the log
     */
    public void put(ReplicaEntry entry, long revision) {
        LiveReplica known = replicas.get(entry.id());
        if (known != null) {
            if (known.entry().draining() != entry.draining()) {
                log("replica draining", entry, revision);
            }
            known.update(entry);
            return;
        }
        Addresses.parse(entry.address())
                .peekLeft(why -> logger.atWarning().log("replica %s is left out: %s", entry.id(), why))
                .forEach(address -> {
                    ReplicaConnections connections = new ReplicaConnections(reactor, clock, address);
                    LiveReplica live = new LiveReplica(entry, connections);
                    replicas.put(entry.id(), live);
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
            byHash.remove(gone.hash());
            gone.connections().retire();
            log("replica gone", gone.entry(), revision);
        }
    }

    private static void log(String what, ReplicaEntry entry, long revision) {
        logger.atInfo()
                .with(Logs.DECISION, what)
                .with(Logs.REPLICA, entry.id())
                .with(
                        Logs.INPUTS,
                        "service=" + entry.service() + " address=" + entry.address() + " revision=" + revision)
                .log("%s: %s", what, entry.id());
    }

    /**
     * Finds a replica.
     *
     * @param id its id
     * @return the replica, empty when it is not listed
     */
    public Optional<LiveReplica> get(String id) {
        return Optional.ofNullable(replicas.get(id));
    }

    /**
     * Finds a replica by the hash of its id.
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
