package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.hornbeamhead.core.entry.EntrySelection;
import org.hornbeamhead.core.entry.StoreReaders;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Logs;

/** The routers that are listed. */
public final class RouterList {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final RouterEntry self;
    private final BooleanSupplier selfServes;
    private final Clock clock;
    private final Map<String, RouterEntry> others = new TreeMap<>();
    private Optional<List<RouterEntry>> readers = Optional.empty();

    /**
     * Makes a list of this router alone.
     *
     * @param self this router
     * @param selfServes tells whether this router should be named to callers
     * @param clock the clock
     */
    public RouterList(RouterEntry self, BooleanSupplier selfServes, Clock clock) {
        this.self = self;
        this.selfServes = selfServes;
        this.clock = clock;
    }

    /**
     * Takes over a change of the store.
     *
     * @param item a router's key
     */
    public void changed(StoreItem item) {
        String node = item.key().substring(RouterEntry.PREFIX.length());
        if (node.equals(self.node())) {
            return;
        }
        readers = Optional.empty();
        if (item.removed()) {
            others.remove(node);
        } else {
            Json.read(item.value(), RouterEntry.class)
                    .peekLeft(why -> logger.atWarning().log("router %s is left out: %s", node, why))
                    .forEach(e -> others.put(node, e));
        }
        logger.atInfo()
                .with(Logs.DECISION, item.removed() ? "router gone" : "router listed")
                .with(Logs.INPUTS, "revision=" + item.revision() + " routers=" + (others.size() + 1))
                .log("router %s", node);
    }

    /**
     * Lists whom callers should use.
     *
     * @param limit the most addresses
     * @param requestsPerSecond the requests that all routers get
     * @return the addresses for callers; this router's own when no other is known
     */
    public List<String> callerAddresses(int limit, double requestsPerSecond) {
        List<EntrySelection.Candidate> known = new ArrayList<>();
        others.values().forEach(e -> known.add(candidate(e)));
        if (selfServes.getAsBoolean() || known.isEmpty()) {
            known.add(candidate(self));
        }
        return EntrySelection.choose(known, requestsPerSecond).stream()
                .distinct()
                .limit(limit)
                .toList();
    }

    private EntrySelection.Candidate candidate(RouterEntry e) {
        long up = clock.wallMillis() - e.startedWallMillis();
        return new EntrySelection.Candidate(e.caller(), e.dataCentre(), e.capacity(), up);
    }

    /**
     * Lists the routers that read the store for all others.
     *
     * @return the readers in the order in which this router turns to them; this one may be among them
     */
    public List<RouterEntry> readers() {
        if (readers.isEmpty()) {
            readers = Optional.of(chooseReaders());
        }
        return readers.get();
    }

    private List<RouterEntry> chooseReaders() {
        List<StoreReaders.Candidate> all = Stream.concat(others.values().stream(), Stream.of(self))
                .map(e -> new StoreReaders.Candidate(e.node(), e.dataCentre(), e.capacity()))
                .toList();
        return StoreReaders.orderFor(StoreReaders.choose(all), self.node(), self.dataCentre()).stream()
                .map(r -> others.getOrDefault(r.node(), self))
                .toList();
    }

    /**
     * Lists where other routers may be asked.
     *
     * @param seeds addresses known from the settings
     * @return addresses without this router's own
     */
    public List<String> peerAddresses(List<String> seeds) {
        return Stream.concat(others.values().stream().map(RouterEntry::peer), seeds.stream())
                .filter(a -> !a.isEmpty() && !a.equals(self.peer()))
                .distinct()
                .toList();
    }

    /**
     * Lists where routers with work may be told what concerns their work.
     *
     * @param hintAddresses where they take hints, as heard lately
     * @param seeds addresses known from the settings
     * @return their addresses for other routers; those of all routers when nobody has been heard of
     */
    public List<String> peerAddressesOf(List<String> hintAddresses, List<String> seeds) {
        List<String> near = others.values().stream()
                .filter(e -> hintAddresses.contains(e.hints()))
                .map(RouterEntry::peer)
                .toList();
        return near.isEmpty() ? peerAddresses(seeds) : near;
    }

    /**
     * Lists where other routers take hints.
     *
     * @return the addresses without this router's own
     */
    public List<String> hintAddresses() {
        return others.values().stream().map(RouterEntry::hints).toList();
    }

    /**
     * Counts the routers.
     *
     * @return the listed ones and this one
     */
    public int count() {
        return others.size() + 1;
    }

    /**
     * Tells this router's place in the order of all routers' names.
     *
     * @return the place, from 0
     */
    public int rank() {
        return (int) others.keySet().stream()
                .filter(n -> n.compareTo(self.node()) < 0)
                .count();
    }
}
