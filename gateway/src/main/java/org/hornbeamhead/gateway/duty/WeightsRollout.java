package org.hornbeamhead.gateway.duty;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.core.route.EngineSpec;
import org.hornbeamhead.core.weights.RolloutReplica;
import org.hornbeamhead.gateway.replica.LiveReplica;
import org.hornbeamhead.gateway.state.ReplicaModel;

/** The changes that the leader has started: selects the next ones and removes those that have finished. */
final class WeightsRollout {
    /** An announcement reaches routers within a round trip; the replica gets its order only after that. */
    private static final long ANNOUNCEMENT_DELAY_MILLIS = 20;

    /**
     * The shortest expected duration of a change. A load of 1.2 s is over 1.3 s after its order, and shorter loads wait
     * for requests in progress.
     */
    private static final long MIN_CHANGE_MILLIS = 1_300;
    /**
     * The shortest of this many recent changes shows how long a load takes. The others also waited for requests in
     * progress.
     */
    private static final int RECENT_CHANGES = 4;

    private final RolloutCoordinator.Dependencies dependencies;
    private final ChangeNotifier notifier;
    private final OrderTracker orderTracker;
    private final Map<String, WeightsChange> changes = new HashMap<>();
    private final OrderBackoff backoff = new OrderBackoff();
    private final Deque<Long> recentDurations = new ArrayDeque<>();

    /**
     * Creates a rollout without changes.
     *
     * @param dependencies the dependencies of the coordinator
     * @param lease the leader lease
     * @param notifier announces changes to other routers
     */
    WeightsRollout(RolloutCoordinator.Dependencies dependencies, LeaderLease lease, ChangeNotifier notifier) {
        this.dependencies = dependencies;
        this.notifier = notifier;
        this.orderTracker = new OrderTracker(
                dependencies.clock(), dependencies.orderClient(), lease, dependencies.self(), this::setAside);
    }

    /** Returns whether a change is in progress or a replica serves an older version than the target. */
    boolean isNeeded() {
        return !changes.isEmpty()
                || dependencies.weights().latestVersions().entrySet().stream()
                        .flatMap(e -> outdatedReplicas(e.getKey(), e.getValue()))
                        .findAny()
                        .isPresent();
    }

    /** Returns whether this host has a path to any replica that has to change. */
    boolean hasReachableWork() {
        return changes.keySet().stream().anyMatch(run -> dependencies.registry().byRun(run).stream()
                        .allMatch(this::isReachable))
                || dependencies.weights().latestVersions().entrySet().stream()
                        .flatMap(e -> outdatedReplicas(e.getKey(), e.getValue()))
                        .anyMatch(this::isReachable);
    }

    private boolean isReachable(LiveReplica replica) {
        return dependencies.reachesService().test(replica.entry().service());
    }

    private void setAside(String run) {
        Optional.ofNullable(changes.remove(run)).ifPresent(change -> backoff.recordFailure(run, change, now()));
    }

    long lastOrderAt() {
        return orderTracker.lastOrderAt();
    }

    /** Drops all changes, since this router is no longer the leader. */
    void clear() {
        changes.clear();
    }

    /** Drops all changes and reports, since this router has just become the leader and they may be outdated. */
    void reset() {
        changes.clear();
        backoff.clear();
        orderTracker.reset();
    }

    void advance() {
        removeFinished();
        retargetSuperseded();
        startChanges();
        // A reply may remove its change at once.
        new ArrayList<>(changes.entrySet()).forEach(e -> dependencies
                .registry()
                .byRun(e.getKey())
                .ifPresent(replica -> orderTracker.advance(replica, e.getValue())));
    }

    /**
     * Directs changes that have not been ordered, or whose order was lost, to the newest target version. Otherwise a
     * replica would load weights that are already superseded and be unavailable to callers twice.
     */
    private void retargetSuperseded() {
        changes.replaceAll((run, change) -> {
            long target = dependencies.weights().latestVersion(change.model);
            return change.ordered || change.reportPending || change.version >= target
                    ? change
                    : change.retarget(target);
        });
    }

    private void removeFinished() {
        Map<ReplicaModel, Long> finished = new HashMap<>();
        Set<String> removed = new HashSet<>();
        changes.forEach((run, change) -> {
            Optional<LiveReplica> replica = dependencies.registry().byRun(run);
            if (replica.isEmpty() || replica.get().isLeaving()) {
                removed.add(run);
            } else if (replica.get().weightsVersion(change.model) >= change.version) {
                finished.put(new ReplicaModel(run, change.model), change.version);
                recordDuration(change);
            }
        });
        if (!finished.isEmpty() || !removed.isEmpty()) {
            finished.keySet().forEach(replica -> changes.remove(replica.run()));
            changes.keySet().removeAll(removed);
            notifier.announce(Set.copyOf(changes.keySet()), finished);
        }
    }

    private void recordDuration(WeightsChange change) {
        if (change.ordered) {
            recentDurations.addLast(now() - change.orderedAt);
        }
        if (recentDurations.size() > RECENT_CHANGES) {
            recentDurations.removeFirst();
        }
    }

    private long expectedChangeMillis() {
        long shortest =
                recentDurations.stream().mapToLong(Long::longValue).min().orElse(MIN_CHANGE_MILLIS);
        return Math.max(MIN_CHANGE_MILLIS, shortest);
    }

    private Stream<LiveReplica> outdatedReplicas(String model, long version) {
        return servingReplicas(model).filter(replica -> replica.weightsVersion(model) < version);
    }

    /** Returns the replicas of a model. An entry of a service that is not configured is no replica to use. */
    private Stream<LiveReplica> servingReplicas(String model) {
        return dependencies.registry().all().stream()
                .filter(replica -> replica.isInService() && replica.weightsVersion(model) > 0)
                .filter(replica -> engine(replica).isPresent());
    }

    private Optional<EngineSpec> engine(LiveReplica replica) {
        return dependencies.engines().apply(replica.entry().service());
    }

    private void startChanges() {
        List<String> selected = new ArrayList<>();
        dependencies.weights().latestVersions().forEach((model, version) -> {
            List<RolloutReplica> replicas = servingReplicas(model)
                    .filter(this::isReachable)
                    .filter(replica -> !isUnresponsive(replica.entry().run()))
                    .filter(replica -> !backoff.isActive(replica.entry().run(), model, version, now()))
                    .map(replica -> toWeightsReplica(replica, model))
                    .toList();
            dependencies
                    .plan()
                    .next(replicas, version, changingReplicas(), expectedChangeMillis())
                    .forEach(replica -> {
                        changes.put(replica.id(), new WeightsChange(model, version, now()));
                        selected.add(replica.id());
                    });
        });
        if (!selected.isEmpty()) {
            notifier.announce(Set.copyOf(changes.keySet()), Map.of());
            dependencies.timers().schedule(ANNOUNCEMENT_DELAY_MILLIS, () -> selected.stream()
                    .filter(changes::containsKey)
                    .forEach(run -> changes.get(run).announced = true));
        }
    }

    private RolloutReplica toWeightsReplica(LiveReplica replica, String model) {
        long version = replica.weightsVersion(model);
        return new RolloutReplica(
                replica.entry().run(),
                version,
                dependencies.weights().usableMillis(model, version, now()),
                memoryUse(replica));
    }

    /**
     * Returns whether a replica with a change in progress does not report. A replica that lost its power is still
     * listed, and other changes would wait for it. It serves no requests, so it is neither counted nor waited for.
     */
    private boolean isUnresponsive(String run) {
        return changes.containsKey(run) && changes.get(run).unresponsive;
    }

    private Set<String> changingReplicas() {
        return changes.keySet().stream().filter(run -> !isUnresponsive(run)).collect(Collectors.toSet());
    }

    private double memoryUse(LiveReplica replica) {
        return (double) replica.load().memoryTokens(now())
                / engine(replica).map(EngineSpec::kvCapacityTokens).orElse(1L);
    }

    private long now() {
        return dependencies.clock().monotonicMillis();
    }
}
