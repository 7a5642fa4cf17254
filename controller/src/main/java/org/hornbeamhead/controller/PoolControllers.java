package org.hornbeamhead.controller;

import io.activej.promise.Promise;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.hornbeamhead.clients.EngineControl;
import org.hornbeamhead.core.config.ConfigHolder;
import org.hornbeamhead.core.config.ConfigLog;
import org.hornbeamhead.core.config.ConfigState;
import org.hornbeamhead.core.config.Pool;
import org.hornbeamhead.core.drain.DrainView;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.core.lease.LeaseManager;
import org.hornbeamhead.core.lease.LeaseState;
import org.hornbeamhead.core.placement.ReplicaRing;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Metrics;

/**
 * All pools as one controller process looks at them. For each pool a few processes, computed from the list of hosts,
 * seek the pool's lease, so that the platform's calls do not grow with the fleet.
 *
 * <p>Owned by one thread; {@link #step} is called at the settings' interval.
 */
final class PoolControllers {
    private static final int SEEKERS = 3;

    private final KeyValueStore store;
    private final Supplier<Promise<List<Endpoint>>> hostList;
    private final EngineControl control;
    private final Clock clock;
    private final Metrics metrics;
    private final String holder;
    private final Duration leaseTtl;
    private final ConfigHolder config = new ConfigHolder();
    private final ConfigLog log;
    private final LoadSlots slots;
    private final DrainView drains;
    private final Map<String, PoolController> pools = new HashMap<>();
    private List<Endpoint> hosts = List.of();
    private long lastRefreshMillis;
    private boolean released;

    PoolControllers(
            KeyValueStore store,
            Supplier<Promise<List<Endpoint>>> hostList,
            EngineControl control,
            Clock clock,
            Metrics metrics,
            String holder,
            Duration leaseTtl) {
        this.store = store;
        this.hostList = hostList;
        this.control = control;
        this.clock = clock;
        this.metrics = metrics;
        this.holder = holder;
        this.leaseTtl = leaseTtl;
        this.log = new ConfigLog(store);
        this.drains = new DrainView(store);
        this.slots = new LoadSlots(store, clock, holder, leaseTtl);
    }

    long leasesHeld() {
        return pools.values().stream()
                .filter(p -> p.lease().validLease().isPresent())
                .count();
    }

    /** Looks at the configuration, the hosts and the pools whose lease this process seeks. */
    void step() {
        if (released) {
            return;
        }
        hostList.get().whenResult(listed -> hosts = listed);
        List<PoolController> sought =
                pools.values().stream().filter(this::isSeeker).toList();
        if (sought.isEmpty() && config.state().version() > 0) {
            refreshRarely();
            return;
        }
        log.latest(config.state()).thenAccept(read -> read.peek(this::configured));
        drains.read(leaseIds());
        slots.step();
        sought.forEach(this::step);
    }

    /** A process that seeks no lease needs the configuration only to learn of new pools. */
    private void refreshRarely() {
        long now = clock.monotonicMillis();
        if (now - lastRefreshMillis >= leaseTtl.toMillis() * 2) {
            lastRefreshMillis = now;
            log.latest(config.state()).thenAccept(read -> read.peek(this::configured));
        }
    }

    private boolean isSeeker(PoolController controller) {
        List<String> entries = hosts.stream()
                .filter(e -> e.kind() == EndpointKind.ENTRY && !e.leaving())
                .map(Endpoint::address)
                .toList();
        return ReplicaRing.of(entries)
                .walk(controller.name().hashCode(), SEEKERS)
                .contains(holder);
    }

    private void configured(ConfigState state) {
        config.offer(state);
        config.config().pools().values().stream()
                .filter(Pool::isEngine)
                .forEach(p -> pools.computeIfAbsent(p.name(), this::open));
    }

    private PoolController open(String pool) {
        LeaseManager lease = new LeaseManager(store, clock, "controller/" + pool, holder, leaseTtl);
        return new PoolController(pool, lease, slots, control, clock, metrics);
    }

    private Set<String> leaseIds() {
        return pools.values().stream()
                .flatMap(p -> p.lease().validLease().stream())
                .map(LeaseState::lease)
                .collect(Collectors.toUnmodifiableSet());
    }

    private void step(PoolController controller) {
        controller.lease().renewOrAcquire();
        Pool wanted = config.config().pools().get(controller.name());
        if (wanted != null) {
            List<Endpoint> replicas = hosts.stream()
                    .filter(e -> e.kind() == EndpointKind.ENGINE && e.pool().equals(controller.name()))
                    .toList();
            controller.step(wanted, drains, replicas);
        }
    }

    /** Gives all leases back for good, so that the next holder need not wait for them to lapse. */
    CompletionStage<Void> release() {
        released = true;
        CompletableFuture<?>[] givenBack = pools.values().stream()
                .map(PoolController::lease)
                .map(LeaseManager::release)
                .map(CompletionStage::toCompletableFuture)
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(givenBack);
    }
}
