package org.hornbeamhead.clients;

import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import java.io.IOException;
import java.time.Duration;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.HttpReply;
import org.hornbeamhead.daemon.Json;

/** Engines' load reports and orders over HTTP. */
public final class HttpEngineControl implements EngineControl {
    private static final Duration CALL_LIMIT = Duration.ofSeconds(1);

    private final HttpCaller caller;

    /**
     * Makes a client.
     *
     * @param caller makes the calls
     */
    public HttpEngineControl(HttpCaller caller) {
        this.caller = caller;
    }

    @Override
    public Promise<LoadReport> load(String address) {
        return caller.call(HttpMethod.GET, "http://" + address + "/load", "", CALL_LIMIT)
                .then(reply -> Json.read(reply.body(), LoadReport.class)
                        .fold(
                                why -> Promise.ofException(new IOException("unreadable load report: " + why)),
                                Promise::of));
    }

    @Override
    public Promise<HttpReply> order(String address, Order order) {
        return caller.call(HttpMethod.POST, "http://" + address + "/orders", Json.write(order), CALL_LIMIT);
    }
}
