package org.hornbeamhead.gateway.duty;

import io.activej.eventloop.Eventloop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.hornbeamhead.core.mirror.StoreChanges;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
import org.hornbeamhead.core.time.Timers;
import org.hornbeamhead.core.weights.RolloutPlan;
import org.hornbeamhead.gateway.replica.ReplicaRegistry;
import org.hornbeamhead.gateway.state.WeightsView;

/** Routers that share a clock, a store, what is named, and the replicas that they order. */
final class DutyWorld {
    static final long PAUSE = 3_000;
    static final int MEMORY_TOKENS = 90_000;

    final ManualClock clock = new ManualClock(1_000_000);
    final StoreMirror mirror = new StoreMirror();
    final FakePlatformStore store = new FakePlatformStore(mirror);
    final FakeReplicas replicas;
    final ManualTimers timers = new ManualTimers(clock);

    private final int count;
    private final long boundMillis;
    private final WeightsView weights;
    private final List<Router> routers = new ArrayList<>();

    DutyWorld(int count, long boundMillis, LongSupplier loadMillis) {
        this.count = count;
        this.boundMillis = boundMillis;
        replicas = new FakeReplicas(clock, loadMillis);
        weights = new WeightsView(boundMillis);
        name(1);
    }

    /** A router's duty, and what it knows of the replicas. */
    static final class Router {
        final WeightsDuty duty;
        final ReplicaRegistry registry;
        private boolean killed;

        private Router(DutyWorld world, String name, int rank, StoreMirror seen) {
            registry =
                    new ReplicaRegistry(Eventloop.builder().withCurrentThread().build(), world.clock);
            world.replicas.list(world.count, registry);
            WeightsDuty.Parts parts = new WeightsDuty.Parts(
                    this.timers(world.timers),
                    world.clock,
                    registry,
                    world.weights,
                    world.replicas,
                    new RolloutPlan(2, world.boundMillis),
                    () -> rank,
                    s -> MEMORY_TOKENS,
                    name,
                    PAUSE);
            DutyLease lease = new DutyLease(world.clock, world.store, seen, name);
            duty = new WeightsDuty(parts, lease, (changing, changed) -> {});
            duty.start();
            world.routers.add(this);
        }

        private Timers timers(Timers shared) {
            return (delay, action) -> shared.schedule(delay, () -> {
                if (!killed) {
                    action.run();
                }
            });
        }

        /** None of its timers runs any more. */
        void kill() {
            killed = true;
        }
    }

    Router router(String name, int rank) {
        return new Router(this, name, rank, mirror);
    }

    /** A router that hears of each change in the store some time after it. */
    Router lateRouter(String name, int rank, long hearMillis) {
        StoreMirror seen = new StoreMirror();
        seen.apply(mirror.changesSince(0));
        mirror.addListener(item ->
                timers.schedule(hearMillis, () -> seen.apply(new StoreChanges(List.of(item), item.revision(), false))));
        return new Router(this, name, rank, seen);
    }

    /** The lease of a router that is gone ends; what it wrote without one stays. */
    void endLeaseOf(String holder) {
        new DutyLease(clock, store, mirror, "")
                .record()
                .filter(r -> r.holder().equals(holder))
                .ifPresent(r -> store.lapse(DutyLease.KEY));
    }

    /** Names weights, and tells the routers so. */
    void name(long version) {
        weights.recordPublished(FakeReplicas.MODEL, version, clock.monotonicMillis());
        routers.stream().filter(r -> !r.killed).forEach(r -> r.duty.look());
    }
}
