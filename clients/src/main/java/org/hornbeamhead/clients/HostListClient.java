package org.hornbeamhead.clients;

import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.hornbeamhead.core.endpoint.Endpoint;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.Json;

/** The platform's list of live and leaving hosts over HTTP. It lags behind reality. */
public final class HostListClient {
    private static final Duration CALL_LIMIT = Duration.ofSeconds(1);

    private record HostList(List<Endpoint> hosts) {}

    private final HttpCaller caller;
    private final String url;

    /**
     * Makes a client.
     *
     * @param caller makes the calls
     * @param address the list's address
     */
    public HostListClient(HttpCaller caller, String address) {
        this.caller = caller;
        this.url = "http://" + address + "/hosts";
    }

    /**
     * Fetches the list.
     *
     * @return the hosts, or a failure, upon which the last list stays in force
     */
    public Promise<List<Endpoint>> fetch() {
        return caller.call(HttpMethod.GET, url, "", CALL_LIMIT).then(reply -> Json.read(reply.body(), HostList.class)
                .fold(
                        why -> Promise.ofException(new IOException("unreadable list of hosts: " + why)),
                        list -> Promise.of(list.hosts())));
    }
}
