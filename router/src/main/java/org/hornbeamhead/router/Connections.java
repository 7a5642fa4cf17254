package org.hornbeamhead.router;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.net.ConnectException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.hornbeamhead.core.settings.Addresses;
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

    private static final Duration CHECK_LIMIT = Duration.ofMillis(500);

    private final NioReactor reactor;
    private final HttpCaller kept;
    private final HttpCaller fresh;
    private final Clock clock;
    private final Map<String, Long> retiredUntilMillis = new HashMap<>();

    Connections(NioReactor reactor, Clock clock) {
        this.reactor = reactor;
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

    /** Finds out whether an endpoint's process has ended: its host refuses new connections then. */
    Promise<Boolean> refused(String address) {
        return Addresses.parse(address).fold(why -> Promise.of(false), to -> TcpSocket.connect(
                        reactor, to, CHECK_LIMIT, SocketSettings.defaultInstance())
                .then(
                        socket -> {
                            socket.close();
                            return Promise.of(false);
                        },
                        e -> Promise.of(e instanceof ConnectException)));
    }

    void retire(String address) {
        retiredUntilMillis.put(address, clock.monotonicMillis() + RETIRED_MILLIS);
    }
}
