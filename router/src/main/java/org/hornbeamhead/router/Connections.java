package org.hornbeamhead.router;

import io.activej.reactor.nio.NioReactor;
import java.util.HashMap;
import java.util.Map;
import org.hornbeamhead.core.time.Clock;
import org.hornbeamhead.daemon.HttpCaller;

/**
 * The connections to endpoints. After a silence, an endpoint's kept connections are not used again.
 *
 * <p>Failure: a device on the way loses its table, and all open connections to a host go silent at once. Symptom: one
 * request after another times out on a sibling of the silent connection. New connections are used until the kept ones
 * have surely been closed for idling.
 */
final class Connections {
    private static final long RETIRED_MILLIS = 30_000;

    private final HttpCaller kept;
    private final HttpCaller fresh;
    private final Clock clock;
    private final Map<String, Long> retiredUntilMillis = new HashMap<>();

    Connections(NioReactor reactor, Clock clock) {
        this.kept = HttpCaller.keepingAlive(reactor);
        this.fresh = HttpCaller.connectingAnew(reactor);
        this.clock = clock;
    }

    HttpCaller kept(String address) {
        long now = clock.monotonicMillis();
        retiredUntilMillis.values().removeIf(until -> until <= now);
        return retiredUntilMillis.containsKey(address) ? fresh : kept;
    }

    HttpCaller fresh() {
        return fresh;
    }

    void retire(String address) {
        retiredUntilMillis.put(address, clock.monotonicMillis() + RETIRED_MILLIS);
    }
}
