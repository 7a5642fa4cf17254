package org.hornbeamhead.router;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamhead.clients.EngineControl;
import org.hornbeamhead.core.config.OperatorsConfig;
import org.hornbeamhead.core.config.Pool;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.core.endpoint.EndpointKind;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.core.placement.ReplicaSubset;
import org.hornbeamhead.core.placement.ReplicaTable;

/** The pools of the configuration with the endpoints of the list of hosts. Owned by the reactor's thread. */
final class PoolDirectory {
    private static final int POLLS_AT_ONCE = 16;

    private record Poll(ReplicaTable table, String address, String knownWeights) {}

    private final RouterContext context;
    private final EngineControl control;
    private final Map<String, EnginePool> engines = new HashMap<>();
    private final Map<String, ServicePool> services = new HashMap<>();
    private List<Endpoint> hosts = List.of();
    private final List<Poll> toPoll = new ArrayList<>();
    private int routers = 1;

    PoolDirectory(RouterContext context, EngineControl control) {
        this.context = context;
        this.control = control;
        context.config().onChange(this::configured);
    }

    EnginePool engines(Pool pool) {
        return engines.computeIfAbsent(pool.name(), n -> open());
    }

    private EnginePool open() {
        EnginePool pool = new EnginePool(
                context.clock(), context.random(), context.settings().batchQueue());
        pool.placement().setRouterCount(routers);
        return pool;
    }

    /** Notes how many routers serve, which see about the same share of the load each. */
    void routers(int serving) {
        routers = serving;
        engines.values().forEach(p -> p.placement().setRouterCount(serving));
    }

    ServicePool service(String name) {
        return services.computeIfAbsent(name, n -> new ServicePool(context.clock(), context.availability()));
    }

    Collection<EnginePool> engines() {
        return engines.values();
    }

    Map<String, EnginePool> enginesByName() {
        return engines;
    }

    private void configured(OperatorsConfig config) {
        config.pools().values().stream()
                .filter(Pool::isEngine)
                .forEach(p -> engines(p).table().setModel(p.model()));
        listed(hosts);
    }

    /** Takes over the list of hosts. */
    void listed(List<Endpoint> listed) {
        hosts = listed;
        context.availability()
                .listed(listed.stream()
                        .filter(e -> e.kind() != EndpointKind.ENTRY)
                        .map(Endpoint::address)
                        .toList());
        context.config().config().pools().values().forEach(pool -> {
            if (pool.isEngine()) {
                engines(pool)
                        .table()
                        .setEndpoints(ReplicaSubset.select(
                                of(EndpointKind.ENGINE, pool.name()),
                                context.settings().dataCentre()));
            } else {
                service(pool.name()).listed(of(EndpointKind.SERVICE, pool.name()));
            }
        });
    }

    List<Endpoint> of(EndpointKind kind, String pool) {
        return hosts.stream()
                .filter(e -> e.kind() == kind && e.pool().equals(pool))
                .toList();
    }

    List<Endpoint> entries() {
        return hosts.stream().filter(e -> e.kind() == EndpointKind.ENTRY).toList();
    }

    /**
     * Asks engines for their load, a few at a time in turn, so that the cost does not grow with the pools. Replicas
     * that have not reported yet come first.
     */
    void pollLoads() {
        if (toPoll.isEmpty()) {
            engines.forEach((name, pool) ->
                    pool.table().replicas().forEach(r -> toPoll.add(new Poll(pool.table(), r.address(), r.weights()))));
            toPoll.sort(Comparator.comparing(p -> !p.knownWeights().isEmpty()));
        }
        List<Poll> now = toPoll.subList(0, Math.min(POLLS_AT_ONCE, toPoll.size()));
        now.forEach(p -> control.load(p.address()).whenResult((LoadReport r) -> reported(p, r)));
        now.clear();
    }

    private void reported(Poll poll, LoadReport report) {
        boolean restarted = poll.table()
                .find(poll.address())
                .filter(r -> !r.incarnation().isEmpty() && !r.incarnation().equals(report.incarnation()))
                .isPresent();
        if (restarted) {
            context.availability().restarted(poll.address());
        }
        poll.table().applyReport(poll.address(), report);
    }
}
