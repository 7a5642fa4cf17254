package org.hornbeamhead.gateway.duty;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.route.EngineSpec;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.core.weights.RolloutPlan;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.WeightsView;

/** Routers that share a clock, a store, the target versions and the replicas. */
final class RolloutTestBed {
    static final long PAUSE_MILLIS = 3_000;
    static final int MEMORY_TOKENS = 90_000;
    private static final Optional<EngineSpec> ENGINES =
            Optional.of(new EngineSpec(8, MEMORY_TOKENS, 163_840, 530_000, List.of(FakeReplicas.MODEL)));

    final ManualClock clock = new ManualClock(1_000_000);
    final StoreMirror mirror = new StoreMirror();
    final FakePlatformStore store = new FakePlatformStore(mirror);
    final FakeReplicas replicas;
    final ManualTimers timers = new ManualTimers(clock);

    private final int replicaCount;
    private final long limitMillis;
    private final WeightsView weights;
    private final List<Router> routers = new ArrayList<>();

    RolloutTestBed(int replicaCount, long limitMillis, LongSupplier loadMillis) {
        this.replicaCount = replicaCount;
        this.limitMillis = limitMillis;
        replicas = new FakeReplicas(clock, loadMillis);
        weights = new WeightsView(limitMillis);
        setTargetVersion(1);
    }

    /** A router's rollout coordinator and its view of the replicas. */
    static final class Router {
        final RolloutCoordinator coordinator;
        final ReplicaRegistry registry;
        private final List<Runnable> suspendedActions = new ArrayList<>();
        private final StoreMirror mirror;
        private boolean killed;
        private boolean suspended;
        private boolean hearsStore = true;
        private boolean reachesReplicas = true;

        private Router(RolloutTestBed testBed, String name, int rank, StoreMirror routerMirror) {
            mirror = routerMirror;
            registry =
                    new ReplicaRegistry(Eventloop.builder().withCurrentThread().build(), testBed.clock);
            testBed.replicas.register(testBed.replicaCount, registry);
            RolloutCoordinator.Dependencies dependencies = new RolloutCoordinator.Dependencies(
                    this.timers(testBed.timers),
                    testBed.clock,
                    registry,
                    testBed.weights,
                    testBed.replicas,
                    new RolloutPlan(2, testBed.limitMillis),
                    () -> rank,
                    service -> ENGINES,
                    name,
                    PAUSE_MILLIS,
                    service -> reachesReplicas);
            LeaderLease lease = new LeaderLease(testBed.clock, testBed.store, routerMirror, name);
            coordinator = new RolloutCoordinator(dependencies, lease, (changing, changed) -> {});
            coordinator.start();
            testBed.routers.add(this);
        }

        private Timers timers(Timers shared) {
            return (delay, action) -> shared.schedule(delay, () -> {
                if (suspended) {
                    suspendedActions.add(action);
                } else if (!killed) {
                    action.run();
                }
            });
        }

        /** Suspends the router; its due timers run when it resumes. */
        void suspend() {
            suspended = true;
        }

        void resume() {
            suspended = false;
            suspendedActions.forEach(Runnable::run);
            suspendedActions.clear();
        }

        /** Keeps the changes of the store from the router. */
        void stopHearingStore() {
            hearsStore = false;
        }

        /** Applies all that the router has missed, as changes or as a snapshot, which lacks what was removed. */
        void catchUp(StoreMirror store, boolean asSnapshot) {
            hearsStore = true;
            mirror.apply(store.changesSince(asSnapshot ? 0 : mirror.revision()));
        }

        /** Takes the path to all replicas from the router, or gives it back. */
        void setReachesReplicas(boolean reaches) {
            reachesReplicas = reaches;
        }

        /** Stops all timers of the router. */
        void kill() {
            killed = true;
        }
    }

    Router startRouter(String name, int rank) {
        return new Router(this, name, rank, mirror);
    }

    /** Starts a router with a mirror of its own, which receives each change of the store at once while it hears it. */
    Router startRouterWithMirror(String name, int rank) {
        StoreMirror routerMirror = new StoreMirror();
        routerMirror.apply(mirror.changesSince(0));
        Router router = new Router(this, name, rank, routerMirror);
        mirror.addListener(item -> {
            if (router.hearsStore) {
                routerMirror.apply(new StoreChanges(List.of(item), item.revision(), false));
            }
        });
        return router;
    }

    /** Lets all routers learn at intervals which versions the replicas serve, as from the list of replicas. */
    void startHeartbeats(long intervalMillis) {
        timers.schedule(intervalMillis, () -> {
            routers.stream()
                    .filter(r -> r.hearsStore)
                    .flatMap(r -> r.registry.all().stream())
                    .forEach(replica -> replica.observeVersion(
                            FakeReplicas.MODEL, replicas.version(replica.entry().id())));
            startHeartbeats(intervalMillis);
        });
    }

    /** Starts a router that receives each change of the store with a delay. */
    Router startDelayedRouter(String name, int rank, long storeDelayMillis) {
        StoreMirror routerMirror = new StoreMirror();
        routerMirror.apply(mirror.changesSince(0));
        mirror.addListener(item -> timers.schedule(
                storeDelayMillis, () -> routerMirror.apply(new StoreChanges(List.of(item), item.revision(), false))));
        return new Router(this, name, rank, routerMirror);
    }

    /** Expires the lease of a router that was killed. A record that was written without a lease stays. */
    void expireLeaseOf(String holder) {
        new LeaderLeaseView(clock, mirror)
                .record()
                .filter(r -> r.holder().equals(holder))
                .ifPresent(r -> store.expireLeaseOf(LeaderLeaseView.RECORD_KEY));
    }

    int replicaCount() {
        return replicaCount;
    }

    /** Publishes a target version and notifies the routers. */
    void setTargetVersion(long version) {
        weights.recordPublished(FakeReplicas.MODEL, version, clock.monotonicMillis());
        routers.stream().filter(r -> !r.killed).forEach(r -> r.coordinator.wakeUp());
    }
}
