package org.hornbeamhead.gateway.duty;

import io.activej.eventloop.Eventloop;
import java.util.function.LongSupplier;
import org.hornbeamhead.core.mirror.StoreMirror;
import org.hornbeamhead.core.time.ManualClock;
import org.hornbeamhead.core.time.ManualTimers;
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
    ManualTimers timers = new ManualTimers(clock);

    private final int count;
    private final long boundMillis;
    private final WeightsView weights;

    DutyWorld(int count, long boundMillis, LongSupplier loadMillis) {
        this.count = count;
        this.boundMillis = boundMillis;
        replicas = new FakeReplicas(clock, loadMillis);
        weights = new WeightsView(boundMillis);
        name(1);
    }

    /** Starts a router's duty, and tells what it knows of the replicas. */
    ReplicaRegistry router(String name, int rank) {
        ReplicaRegistry registry =
                new ReplicaRegistry(Eventloop.builder().withCurrentThread().build(), clock);
        replicas.list(count, registry);
        WeightsDuty.Parts parts = new WeightsDuty.Parts(
                timers,
                clock,
                registry,
                weights,
                replicas,
                new RolloutPlan(2, boundMillis),
                () -> rank,
                s -> MEMORY_TOKENS,
                name,
                PAUSE);
        new WeightsDuty(parts, new DutyLease(clock, store, mirror, name), (changing, changed) -> {}).start();
        return registry;
    }

    void name(long version) {
        weights.name(FakeReplicas.MODEL, version, clock.monotonicMillis());
    }

    /** All routers are killed: none of their timers runs any more. */
    void killRouters() {
        timers = new ManualTimers(clock);
    }
}
