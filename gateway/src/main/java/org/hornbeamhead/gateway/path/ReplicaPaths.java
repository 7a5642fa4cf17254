package org.hornbeamhead.gateway.path;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.hornbeamhead.core.path.PathHint;
import org.hornbeamhead.core.path.PeerPaths;
import org.hornbeamhead.core.path.ServicePath;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.daemon.Logs;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.PeerDatagrams;
import org.hornbeamhead.gateway.state.RouterList;

/**
 * Tracks to which services this host has a path, and tells other routers.
 *
 * <p>After a failed contact a few other replicas are probed, unless one of them is heard anyway. While a path is lost,
 * no request is sent to the service, and probes go on until one is answered.
 */
public final class ReplicaPaths {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** With callers, a replica that is reached is heard within this time, and no probe is needed. */
    private static final long SUSPICION_MILLIS = 50;
    /**
     * The first interval between probes of a lost path; doubled after each round up to
     * {@link #MAX_PROBE_INTERVAL_MILLIS}.
     */
    private static final long MIN_PROBE_INTERVAL_MILLIS = 100;

    private static final long MAX_PROBE_INTERVAL_MILLIS = 1_000;
    /** A path may be restored to some replicas only, so more than one is probed in each round. */
    private static final int PROBES_PER_ROUND = 2;

    private static final long HINT_INTERVAL_MILLIS = 500;
    /** A router whose paths are restored says so several times, since each datagram may be lost. */
    private static final int FINAL_HINTS = 3;

    private final Dependencies dependencies;
    private final Clock clock;
    private final PeerPaths peers = new PeerPaths();
    private final Map<String, ServicePath> paths = new HashMap<>();
    private final Set<String> suspicions = new HashSet<>();
    private final long life;
    private int hintSequence;
    private int finalHintsLeft;

    /** How a contact with a replica failed. */
    public enum Failure {
        /** No connection could be opened. */
        NOT_CONNECTED,
        /** The connection broke before anything was received. */
        BROKEN,
        /** Nothing was received for longer than a sound replica may be silent. */
        SILENT,
        /** A probe was not answered. */
        UNANSWERED_PROBE
    }

    /**
     * The dependencies.
     *
     * @param clock the clock
     * @param timers the timers of the current thread
     * @param random the source of randomness
     * @param registry the replicas
     * @param healthPath returns the path of the health check of a service
     * @param routers the other routers
     * @param datagrams the socket for hints
     * @param metrics the metrics of the process
     */
    public record Dependencies(
            Clock clock,
            Timers timers,
            Random random,
            ReplicaRegistry registry,
            Function<String, String> healthPath,
            RouterList routers,
            PeerDatagrams datagrams,
            Metrics metrics) {}

    /**
     * Creates a tracker that takes all paths for intact.
     *
     * @param dependencies the dependencies
     */
    public ReplicaPaths(Dependencies dependencies) {
        this.dependencies = dependencies;
        this.clock = dependencies.clock();
        this.life = dependencies.random().nextLong();
    }

    /** Starts to exchange hints with other routers. */
    public void start() {
        dependencies.datagrams().addListener((from, bytes) -> PathHint.decode(bytes)
                .ifPresent(hint -> peers.merge(from, hint, clock.monotonicMillis())));
        dependencies.metrics().gauge("hornbeam_services_without_path", () -> paths.values().stream()
                .filter(ServicePath::isLost)
                .count());
        dependencies.registry().onAdded(this::replicaListed);
        dependencies.timers().schedule(HINT_INTERVAL_MILLIS, this::sendHints);
    }

    /** Probes a replica that is listed while the path is lost; those that were tried may simply have ended. */
    private void replicaListed(LiveReplica replica) {
        if (isLost(replica.entry().service())) {
            probe(replica.entry().service(), r -> r == replica);
        }
    }

    /**
     * Returns what other routers told about their paths.
     *
     * @return their paths
     */
    public PeerPaths peers() {
        return peers;
    }

    /**
     * Returns whether this host has no path to a service.
     *
     * @param service the name of the service
     * @return true until a replica of the service is heard
     */
    public boolean isLost(String service) {
        ServicePath path = paths.get(service);
        return path != null && path.isLost();
    }

    /**
     * Returns whether callers should be sent to other routers because this one lacks a path.
     *
     * @return true while other routers are told of a loss
     */
    public boolean isAnyAnnounced() {
        long now = clock.monotonicMillis();
        return paths.values().stream().anyMatch(p -> p.isAnnounced(now));
    }

    /**
     * Records that something was received from a replica.
     *
     * @param replica the replica
     */
    public void recordContact(LiveReplica replica) {
        String service = replica.entry().service();
        ServicePath path = paths.get(service);
        if (path != null && path.recordContact(clock.monotonicMillis())) {
            long lostMillis = clock.monotonicMillis() - path.lostAtMillis();
            log("path restored", service, "replica=" + replica.entry().id() + " lostMillis=" + lostMillis);
        }
    }

    /**
     * Records that a replica could not be reached.
     *
     * @param replica the replica
     * @param failure how the contact failed
     */
    public void recordFailure(LiveReplica replica, Failure failure) {
        dependencies.metrics().count("hornbeam_contacts_failed", "failure", failure.name());
        String service = replica.entry().service();
        int replicas = dependencies.registry().replicas(service).size();
        ServicePath path = paths.computeIfAbsent(service, s -> new ServicePath());
        if (path.recordFailure(replica.entry().run(), replicas, clock.monotonicMillis())) {
            log("path lost", service, "replica=" + replica.entry().id() + " failure=" + failure + " of=" + replicas);
            scheduleProbes(service, MIN_PROBE_INTERVAL_MILLIS);
        } else if (path.isSuspected() && suspicions.add(service)) {
            dependencies.timers().schedule(SUSPICION_MILLIS, () -> checkSuspicion(service, path));
        }
    }

    /** Probes replicas that have not failed yet, so that the loss of a path is noticed without further callers. */
    private void checkSuspicion(String service, ServicePath path) {
        suspicions.remove(service);
        if (path.isSuspected()) {
            probe(service, r -> !path.hasFailed(r.entry().run()));
        }
    }

    private void scheduleProbes(String service, long intervalMillis) {
        long jitter = dependencies.random().nextLong(intervalMillis);
        dependencies.timers().schedule(intervalMillis + jitter, () -> probe(service, intervalMillis));
    }

    /** Probes some replicas of a service, and again later if none answers. */
    private void probe(String service, long intervalMillis) {
        if (!isLost(service)) {
            return;
        }
        probe(service, r -> true);
        scheduleProbes(service, Math.min(MAX_PROBE_INTERVAL_MILLIS, 2 * intervalMillis));
    }

    private void probe(String service, Predicate<LiveReplica> condition) {
        List<LiveReplica> replicas = new ArrayList<>(dependencies.registry().replicas(service).stream()
                .filter(LiveReplica::isInService)
                .filter(condition)
                .toList());
        Collections.shuffle(replicas, dependencies.random());
        replicas.stream().limit(PROBES_PER_ROUND).forEach(r -> {
            dependencies.metrics().count("hornbeam_path_probes");
            r.connections().probeAnswer(dependencies.healthPath().apply(service), answered -> {
                if (answered) {
                    recordContact(r);
                } else {
                    recordFailure(r, Failure.UNANSWERED_PROBE);
                }
            });
        });
    }

    private void sendHints() {
        long now = clock.monotonicMillis();
        var lost = paths.entrySet().stream()
                .filter(e -> e.getValue().isAnnounced(now))
                .map(e -> PathHint.serviceHash(e.getKey()))
                .collect(Collectors.toSet());
        finalHintsLeft = lost.isEmpty() ? Math.max(0, finalHintsLeft - 1) : FINAL_HINTS + 1;
        if (finalHintsLeft > 0) {
            hintSequence++;
            byte[] hint = new PathHint(life, hintSequence, lost).encode();
            dependencies.routers().hintAddresses().forEach(a -> dependencies
                    .datagrams()
                    .send(a, hint));
        }
        dependencies.timers().schedule(HINT_INTERVAL_MILLIS, this::sendHints);
    }

    private static void log(String decision, String service, String inputs) {
        logger.atInfo()
                .with(Logs.DECISION, decision)
                .with(Logs.INPUTS, "service=" + service + " " + inputs)
                .log("%s: %s", decision, service);
    }
}
