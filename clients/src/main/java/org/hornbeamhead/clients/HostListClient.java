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

    private static final int MAX_LIST_BYTES = 1 << 20;

    private record HostList(List<Endpoint> hosts) {}

    private final HttpCaller caller;
    private final String url;
    private Promise<List<Endpoint>> underWay;

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
     * Fetches the list, one call at a time: who asks while a call is under way gets its answer.
     *
     * <p>Failure: two calls are under way on two connections, a host leaves between them, and the older answer comes
     * last. Symptom: a host that was seen to leave is taken for one that stays, and gets new work until the next call.
     *
     * @return the hosts, or a failure, upon which the last list stays in force
     */
    public Promise<List<Endpoint>> fetch() {
        if (underWay == null || underWay.isComplete()) {
            underWay = call();
        }
        return underWay;
    }

    private Promise<List<Endpoint>> call() {
        return caller.call(HttpMethod.GET, url, "", CALL_LIMIT, MAX_LIST_BYTES)
                .then(reply -> Json.read(reply.body(), HostList.class)
                        .fold(
                                why -> Promise.ofException(new IOException("unreadable list of hosts: " + why)),
                                list -> Promise.of(list.hosts())));
    }
}
