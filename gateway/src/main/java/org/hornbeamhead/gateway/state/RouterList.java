package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamhead.core.entry.EntrySelection;
import org.hornbeamhead.core.entry.StoreReaders;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Logs;

/** The listed routers, including this one. */
public final class RouterList {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final RouterEntry self;
    private final BooleanSupplier selfServes;
    private final Clock clock;
    private final Map<String, RouterEntry> others = new TreeMap<>();
    private Optional<List<RouterEntry>> readers = Optional.empty();
    private Set<String> addresses;
    private int recordedSize;

    /**
     * Creates a list that contains only this router.
     *
     * @param self this router
     * @param selfServes whether this router should be reported to callers
     * @param clock the clock
     */
    public RouterList(RouterEntry self, BooleanSupplier selfServes, Clock clock) {
        this.self = self;
        this.selfServes = selfServes;
        this.clock = clock;
        this.addresses = collectAddresses();
    }

    /**
     * Applies a change of the entry of a router.
     *
     * @param item the changed item, whose key is that of a router
     */
    public void update(StoreItem item) {
        String node = item.key().substring(RouterEntry.PREFIX.length());
        if (node.equals(self.node())) {
            return;
        }
        readers = Optional.empty();
        if (item.removed()) {
            others.remove(node);
        } else {
            Json.read(item.value(), RouterEntry.class)
                    .peekLeft(error -> logger.atWarning().log("ignoring malformed entry of router %s: %s", node, error))
                    .forEach(e -> others.put(node, e));
        }
        addresses = collectAddresses();
        logger.atInfo()
                .with(Logs.DECISION, item.removed() ? "router gone" : "router listed")
                .with(Logs.INPUTS, "revision=" + item.revision() + " routers=" + (others.size() + 1))
                .log("router list changed: %s", node);
    }

    /**
     * Returns the addresses that callers should use.
     *
     * @param limit the maximum number of addresses
     * @param requestsPerSecond the rate of requests to all routers
     * @param hasPaths returns whether a router has paths to all services; routers that have not are left out unless
     *     none has
     * @return the addresses for callers; the own address if no other is known
     */
    public List<String> callerAddresses(int limit, double requestsPerSecond, Predicate<RouterEntry> hasPaths) {
        List<RouterEntry> serving = new ArrayList<>(others.values());
        if (selfServes.getAsBoolean() || serving.isEmpty()) {
            serving.add(self);
        }
        List<RouterEntry> withPaths = serving.stream().filter(hasPaths).toList();
        List<EntrySelection.Candidate> candidates = (withPaths.isEmpty() ? serving : withPaths)
                .stream().map(this::candidate).toList();
        return EntrySelection.choose(candidates, requestsPerSecond).stream()
                .distinct()
                .limit(limit)
                .toList();
    }

    private EntrySelection.Candidate candidate(RouterEntry e) {
        long uptimeMillis = clock.wallMillis() - e.startedWallMillis();
        return new EntrySelection.Candidate(e.caller(), e.dataCentre(), e.capacity(), uptimeMillis);
    }

    /**
     * Returns the routers that read the store for all others.
     *
     * @return the readers in the order of preference of this router, which may be one of them
     */
    public List<RouterEntry> readers() {
        if (readers.isEmpty()) {
            readers = Optional.of(chooseReaders());
        }
        return readers.get();
    }

    private List<RouterEntry> chooseReaders() {
        return StoreReaders.orderFor(StoreReaders.choose(candidates()), self.node(), self.dataCentre()).stream()
                .map(r -> others.getOrDefault(r.node(), self))
                .toList();
    }

    private List<StoreReaders.Candidate> candidates() {
        return Stream.concat(others.values().stream(), Stream.of(self))
                .map(e -> new StoreReaders.Candidate(e.node(), e.dataCentre(), e.capacity()))
                .toList();
    }

    /**
     * Returns the addresses of the other routers for requests between routers.
     *
     * @param seeds the addresses from the settings
     * @return the addresses without the own one
     */
    public List<String> peerAddresses(List<String> seeds) {
        return Stream.concat(others.values().stream().map(RouterEntry::peer), seeds.stream())
                .filter(a -> !a.isEmpty() && !a.equals(self.peer()))
                .distinct()
                .toList();
    }

    /**
     * Returns the other routers.
     *
     * @return the listed routers without this one
     */
    public Collection<RouterEntry> others() {
        return List.copyOf(others.values());
    }

    /**
     * Returns whether a router listens at an address, so that no replica does.
     *
     * @param address the IP address and port
     * @return true for the addresses of this router and of the listed ones
     */
    public boolean isRouterAddress(String address) {
        return addresses.contains(address);
    }

    private Set<String> collectAddresses() {
        return Stream.concat(Stream.of(self), others.values().stream())
                .flatMap(r -> Stream.of(r.caller(), r.peer(), r.hints()))
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns whether an IP address is that of another router.
     *
     * @param address the address
     * @return true if a router with that address is listed
     */
    public boolean isRouterHost(InetAddress address) {
        String prefix = address.getHostAddress() + ':';
        return others.values().stream().anyMatch(e -> e.hints().startsWith(prefix));
    }

    /**
     * Returns the capacity of a router, which is lower for some seconds after its start.
     *
     * @param router the router
     * @return requests a second
     */
    public double effectiveCapacity(RouterEntry router) {
        return candidate(router).effectiveCapacity();
    }

    /**
     * Returns the addresses of the active routers, for messages that concern their requests.
     *
     * @param hintAddresses the hint addresses from which hints were received recently
     * @param seeds the addresses from the settings
     * @return their addresses for requests between routers; those of all routers if none is known to be active
     */
    public List<String> peerAddressesForHints(List<String> hintAddresses, List<String> seeds) {
        List<String> active = others.values().stream()
                .filter(e -> hintAddresses.contains(e.hints()))
                .map(RouterEntry::peer)
                .toList();
        return active.isEmpty() ? peerAddresses(seeds) : active;
    }

    /**
     * Returns the addresses at which other routers receive hints.
     *
     * @return the addresses without the own one
     */
    public List<String> hintAddresses() {
        return others.values().stream().map(RouterEntry::hints).toList();
    }

    /**
     * Returns the number of routers.
     *
     * @return the number of listed routers, including this one
     */
    public int count() {
        return others.size() + 1;
    }

    /**
     * Applies the recorded size of the fleet.
     *
     * @param item the item with the key {@link FleetSizeRecorder#KEY}
     */
    public void updateFleetSize(StoreItem item) {
        recordedSize = FleetSizeRecorder.parse(item).orElse(0);
    }

    /**
     * Returns the number of routers that may serve callers. After all of them have lost their entries in the store, the
     * list alone would make each take itself for the whole fleet.
     *
     * @return the number of listed routers, or of those that were listed lately if that is higher
     */
    public int fleetSize() {
        return Math.max(count(), recordedSize);
    }

    /**
     * Returns whether this router is the first of those that read the store.
     *
     * @return true on one router only, as far as all know the same list
     */
    public boolean isFirstReader() {
        return StoreReaders.choose(candidates()).get(0).node().equals(self.node());
    }

    /**
     * Returns the rank of this router in the order of the names of all routers.
     *
     * @return the rank, starting at 0
     */
    public int rank() {
        return (int) others.keySet().stream()
                .filter(n -> n.compareTo(self.node()) < 0)
                .count();
    }
}
