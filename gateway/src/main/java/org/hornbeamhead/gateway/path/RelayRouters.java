package org.hornbeamhead.gateway.path;

import io.activej.reactor.nio.NioReactor;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.hornbeamhead.core.settings.Addresses;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.gateway.replica.ReplicaConnectionPool;
import org.hornbeamhead.gateway.state.RouterEntry;
import org.hornbeamhead.gateway.state.RouterList;

/**
 * The other routers to which this one may hand requests while it has no path to their service, and the connections to
 * them. Routers accept such requests over TCP at the address at which they receive hints over UDP.
 */
public final class RelayRouters {
    /** The requests of this router that one other router serves at a time; more would overload a small host. */
    public static final int MAX_REQUESTS = 64;
    /** Load of a router in another data centre, compared with one in this data centre. */
    private static final double REMOTE_FACTOR = 1.25;

    private final NioReactor reactor;
    private final Clock clock;
    private final RouterList routers;
    private final ReplicaPaths paths;
    private final String dataCentre;
    private final Map<String, Peer> peers = new HashMap<>();

    /** The connections and requests in progress at one router. */
    public static final class Peer {
        private final String address;
        private final ReplicaConnectionPool connections;
        private int inProgress;

        private Peer(String address, ReplicaConnectionPool connections) {
            this.address = address;
            this.connections = connections;
        }

        /**
         * Returns the address of the router.
         *
         * @return the address at which it accepts requests of other routers
         */
        public String address() {
            return address;
        }

        /**
         * Returns the connections to the router.
         *
         * @return the pool
         */
        public ReplicaConnectionPool connections() {
            return connections;
        }

        /** Records that a request is handed to the router. */
        public void requestStarted() {
            inProgress++;
        }

        /** Records that a request that was handed to the router has ended. */
        public void requestEnded() {
            inProgress--;
        }
    }

    /**
     * Creates the set of routers.
     *
     * @param reactor the reactor of the current thread
     * @param clock the clock
     * @param routers the listed routers
     * @param paths the paths of this router and of the others
     * @param dataCentre the data centre of this router
     */
    public RelayRouters(NioReactor reactor, Clock clock, RouterList routers, ReplicaPaths paths, String dataCentre) {
        this.reactor = reactor;
        this.clock = clock;
        this.routers = routers;
        this.paths = paths;
        this.dataCentre = dataCentre;
    }

    /**
     * Selects a router that has a path to a service, by its load from this router and its capacity.
     *
     * @param service the name of the service
     * @param tried the addresses of routers that are left out
     * @return the router, empty if none is known
     */
    public Optional<Peer> select(String service, Set<String> tried) {
        removeUnlisted();
        return find(service, tried).flatMap(r -> peer(r.hints()));
    }

    /**
     * Returns the router that {@link #select} would select first, and creates no connections.
     *
     * @param service the name of the service
     * @return the address at which it accepts requests of other routers, empty if none is known
     */
    public Optional<String> peek(String service) {
        return find(service, Set.of()).map(RouterEntry::hints);
    }

    private Optional<RouterEntry> find(String service, Set<String> tried) {
        long now = clock.monotonicMillis();
        return routers.others().stream()
                .filter(r -> !tried.contains(r.hints()))
                .filter(r -> paths.peers().hasPath(r.hints(), service, now))
                .filter(r -> inProgress(r) < MAX_REQUESTS)
                .min(Comparator.comparingDouble(this::relativeLoad));
    }

    /**
     * Returns whether a router with a path to a service is known.
     *
     * @param service the name of the service
     * @param tried the addresses of routers that are left out
     * @return true if {@link #select} would find one
     */
    public boolean isAvailable(String service, Set<String> tried) {
        return select(service, tried).isPresent();
    }

    /**
     * Returns whether a router listens at an address, so that no replica does.
     *
     * @param address the IP address and port
     * @return true for the addresses of this router and of the listed ones
     */
    public boolean isRouterAddress(String address) {
        return routers.isRouterAddress(address);
    }

    private int inProgress(RouterEntry router) {
        Peer known = peers.get(router.hints());
        return known == null ? 0 : known.inProgress;
    }

    private double relativeLoad(RouterEntry router) {
        double factor = router.dataCentre().equals(dataCentre) ? 1 : REMOTE_FACTOR;
        return (inProgress(router) + 1) * factor / routers.effectiveCapacity(router);
    }

    private Optional<Peer> peer(String address) {
        return Addresses.parse(address)
                .map(a ->
                        peers.computeIfAbsent(address, k -> new Peer(k, new ReplicaConnectionPool(reactor, clock, a))))
                .toJavaOptional();
    }

    private void removeUnlisted() {
        if (peers.size() <= routers.count()) {
            return;
        }
        Set<String> listed = routers.others().stream().map(RouterEntry::hints).collect(Collectors.toSet());
        Set<String> unlisted = new HashSet<>(peers.keySet());
        unlisted.removeAll(listed);
        unlisted.forEach(a -> peers.remove(a).connections.close());
    }
}
