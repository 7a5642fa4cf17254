package org.hornbeamhead.gateway.state;

import java.util.Objects;
import java.util.stream.Stream;
import org.hornbeamhead.daemon.Json;

/**
 * The entry under which a router is listed in the store.
 *
 * @param node the name of the machine
 * @param caller the address for callers
 * @param peer the address for other routers
 * @param hints the address for hints between routers
 * @param dataCentre the data centre of the router
 * @param capacity the number of requests a second that the host can handle
 * @param startedWallMillis the start time of the process, in milliseconds of the wall clock since 1970
 */
public record RouterEntry(
        String node,
        String caller,
        String peer,
        String hints,
        String dataCentre,
        double capacity,
        long startedWallMillis) {
    /** The prefix of the keys of routers. */
    public static final String PREFIX = "hornbeam/routers/";

    /** Checks that no component is null. */
    public RouterEntry {
        Stream.of(node, caller, peer, hints, dataCentre).forEach(Objects::requireNonNull);
    }

    /**
     * Returns the key under which the router is listed.
     *
     * @return the key
     */
    public String key() {
        return PREFIX + node;
    }

    /**
     * Returns the entry as JSON.
     *
     * @return the value to store
     */
    public String toJson() {
        return Json.write(this);
    }
}
