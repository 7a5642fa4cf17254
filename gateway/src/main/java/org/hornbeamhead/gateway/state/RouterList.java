package org.hornbeamhead.gateway.state;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.hornbeamhead.core.mirror.StoreItem;
import org.hornbeamhead.daemon.Json;
import org.hornbeamhead.daemon.Logs;

/** The routers that are listed. */
public final class RouterList {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final RouterEntry self;
    private final BooleanSupplier selfServes;
    private final Map<String, RouterEntry> others = new TreeMap<>();

    /**
     * Makes a list of this router alone.
     *
     * @param self this router
     * @param selfServes tells whether this router should be named to callers
     */
    public RouterList(RouterEntry self, BooleanSupplier selfServes) {
        this.self = self;
        this.selfServes = selfServes;
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
     * Lists who serves callers.
     *
     * @param limit the most addresses
     * @return the addresses for callers; this router's own when no other is known
     */
    public List<String> callerAddresses(int limit) {
        List<String> known = new ArrayList<>(
                others.values().stream().map(RouterEntry::caller).toList());
        if (selfServes.getAsBoolean() || known.isEmpty()) {
            known.add(0, self.caller());
        }
        return known.stream().distinct().limit(limit).toList();
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
