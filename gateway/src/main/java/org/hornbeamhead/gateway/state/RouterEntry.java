package org.hornbeamhead.gateway.state;

import java.util.Objects;
import java.util.stream.Stream;
import org.hornbeamhead.daemon.Json;

/**
 * A router as it lists itself in the store.
 *
 * @param node the machine's name
 * @param caller the address for callers
 * @param peer the address for other routers
 * @param hints the address for hints between routers
 * @param dataCentre where it stands
 * @param capacity the requests a second that its host bears
 * @param startedWallMillis when its process started, in milliseconds of the wall clock since 1970
 */
public record RouterEntry(
        String node,
        String caller,
        String peer,
        String hints,
        String dataCentre,
        double capacity,
        long startedWallMillis) {
    /** The beginning of the keys of routers. */
    public static final String PREFIX = "hornbeam/routers/";

    /** Checks that nothing is missing. */
    public RouterEntry {
        Stream.of(node, caller, peer, hints, dataCentre).forEach(Objects::requireNonNull);
    }

    /**
     * Gives the key under which the router is listed.
     *
     * @return the key
     */
    public String key() {
        return PREFIX + node;
    }

    /**
     * Writes the entry.
     *
     * @return the value
     */
    public String toJson() {
        return Json.write(this);
    }
}
