package org.hornbeamhead.core.path;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What other routers told about the services to which they have no path. A router that says nothing has paths to all.
 *
 * <p>Not thread-safe.
 */
public final class PeerPaths {
    /** Hints come every half a second; after three lost ones in a row the router counts as having its paths again. */
    private static final long VALIDITY_MILLIS = 1_800;

    private final Map<String, Told> byPeer = new HashMap<>();

    private record Told(long life, int sequence, Set<Integer> lostServices, long atMillis) {}

    /**
     * Processes a hint.
     *
     * @param peer the address of its sender
     * @param hint the hint; one that is older than the last one is ignored
     * @param nowMillis the monotonic time
     */
    public void merge(String peer, PathHint hint, long nowMillis) {
        byPeer.values().removeIf(t -> nowMillis - t.atMillis() > VALIDITY_MILLIS);
        Told before = byPeer.get(peer);
        boolean isOlder = before != null && before.life() == hint.life() && hint.sequence() - before.sequence() <= 0;
        if (!isOlder) {
            byPeer.put(peer, new Told(hint.life(), hint.sequence(), hint.lostServices(), nowMillis));
        }
    }

    /**
     * Returns whether a router has a path to a service, as far as is known.
     *
     * @param peer its address
     * @param service the name of the service
     * @param nowMillis the monotonic time
     * @return false if it said a moment ago that it has none
     */
    public boolean hasPath(String peer, String service, long nowMillis) {
        return !lostServices(peer, nowMillis).contains(PathHint.serviceHash(service));
    }

    /**
     * Returns whether a router has paths to all services, as far as is known.
     *
     * @param peer its address
     * @param nowMillis the monotonic time
     * @return false if it said a moment ago that it lacks one
     */
    public boolean hasAllPaths(String peer, long nowMillis) {
        return lostServices(peer, nowMillis).isEmpty();
    }

    private Set<Integer> lostServices(String peer, long nowMillis) {
        Told told = byPeer.get(peer);
        return told == null || nowMillis - told.atMillis() > VALIDITY_MILLIS ? Set.of() : told.lostServices();
    }
}
