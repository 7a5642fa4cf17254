package org.hornbeamhead.controller;

import com.google.common.flogger.FluentLogger;
import io.activej.http.HttpMethod;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamhead.clients.EngineControl;
import org.hornbeamhead.clients.HostListClient;
import org.hornbeamhead.clients.HttpKeyValueStore;
import org.hornbeamhead.core.config.ConfigHolder;
import org.hornbeamhead.core.config.ConfigLog;
import org.hornbeamhead.core.config.ConfigState;
import org.hornbeamhead.core.config.Pool;
import org.hornbeamhead.core.drain.DrainOrders;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.core.lease.LeaseKeeper;
import org.hornbeamhead.core.placement.ReplicaRing;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.core.store.KeyValueStore;
import org.hornbeamhead.core.store.StoreReply;
import org.hornbeamhead.daemon.Daemon;
import org.hornbeamhead.daemon.HttpAnswers;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.Metrics;

/**
 * One controller process. Each runs on every entry host; for each pool a few of them, computed from the list of hosts,
 * seek the pool's lease, so that the platform's calls do not grow with the fleet.
 */
final class Controller {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int SEEKERS = 3;

    private final Daemon daemon = new Daemon();
    private final ControllerSettings settings;
    private final KeyValueStore store;
    private final HostListClient hostList;
    private final EngineControl control;
    private final Metrics metrics = new Metrics();
    private final ConfigHolder config = new ConfigHolder();
    private final ConfigLog log;
    private final LoadSlots slots;
    private final Map<String, PoolController> pools = new HashMap<>();
    private final HttpServer server;
    private final String holder;
    private List<Endpoint> hosts = List.of();
    private long lastRefreshMillis;
    private DrainOrders drains = new DrainOrders(List.of());

    Controller(ControllerSettings settings) throws IOException {
        this.settings = settings;
        HttpCaller caller = HttpCaller.connectingAnew(daemon.reactor());
        this.store = new HttpKeyValueStore(
                caller, Addresses.format(settings.keyValue()), HttpKeyValueStore.DAEMON_CALL_LIMIT);
        this.hostList = new HostListClient(caller, Addresses.format(settings.hostList()));
        this.control = new EngineControl(caller);
        this.log = new ConfigLog(store);
        this.holder = Addresses.format(settings.entryAddress());
        this.slots = new LoadSlots(store, daemon.clock(), holder, settings.leaseTtl());
        this.server = daemon.listen(
                settings.http(),
                RoutingServlet.builder(daemon.reactor())
                        .with(HttpMethod.GET, "/healthz", r -> HttpAnswers.text(200, "text/plain", "ok"))
                        .with(HttpMethod.GET, "/metrics", r -> metrics.scrape())
                        .build());
        metrics.gauge("hornbeam_leases_held", () -> pools.values().stream()
                .filter(p -> p.lease().held().isPresent())
                .count());
    }

    void run() {
        daemon.repeat(settings.step(), this::step);
        daemon.onSignal(this::leave);
        Daemon.announce("http=" + Daemon.address(server));
        daemon.run();
    }

    private void step() {
        hostList.fetch().whenResult(listed -> hosts = listed);
        List<PoolController> sought =
                pools.values().stream().filter(this::isSeeker).toList();
        if (sought.isEmpty() && config.state().version() > 0) {
            refreshRarely();
            return;
        }
        log.latest(config.state()).thenAccept(read -> read.peek(this::configured));
        readDrains();
        slots.step();
        sought.forEach(this::step);
    }

    /** A process that seeks no lease needs the configuration only to learn of new pools. */
    private void refreshRarely() {
        long now = daemon.clock().monotonicMillis();
        if (now - lastRefreshMillis >= settings.leaseTtl().toMillis() * 2) {
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
        LeaseKeeper lease = new LeaseKeeper(store, daemon.clock(), "controller/" + pool, holder, settings.leaseTtl());
        return new PoolController(pool, lease, slots, control, daemon.clock(), metrics);
    }

    private void readDrains() {
        store.read(DrainOrders.KEY).thenAccept(reply -> {
            if (reply instanceof StoreReply.Found found) {
                drains = DrainOrders.parse(found.entry().value());
            }
        });
    }

    private void step(PoolController controller) {
        controller.lease().step();
        Pool wanted = config.config().pools().get(controller.name());
        if (wanted != null) {
            List<Endpoint> replicas = hosts.stream()
                    .filter(e -> e.kind() == EndpointKind.ENGINE && e.pool().equals(controller.name()))
                    .toList();
            controller.step(wanted, drains, replicas);
        }
    }

    /** Gives all leases back first, so that the next holder need not wait for them to lapse. */
    private void leave() {
        logger.atInfo().log("leaving");
        CompletableFuture<?>[] released = pools.values().stream()
                .map(PoolController::lease)
                .map(LeaseKeeper::release)
                .map(CompletionStage::toCompletableFuture)
                .toArray(CompletableFuture<?>[]::new);
        CompletionStage<Void> all = CompletableFuture.allOf(released);
        all.whenComplete((v, e) -> server.close().whenComplete(daemon::end));
    }
}
