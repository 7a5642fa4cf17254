package org.hornbeamhead.clients;

import io.activej.http.HttpMethod;
import io.activej.promise.Promise;
import java.io.IOException;
import java.time.Duration;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.daemon.HttpCaller;
import org.hornbeamhead.daemon.HttpReply;
import org.hornbeamhead.daemon.Json;

/** What engines are asked and told beside requests: load reports and orders. */
public final class EngineControl {
    private static final Duration CALL_LIMIT = Duration.ofSeconds(1);

    /**
     * An order to an engine: the state that it should be in.
     *
     * @param fence the fencing number of who gives it
     * @param weights the version of the weights to serve; empty to keep
     * @param draining whether to refuse new work
     */
    public record Order(long fence, String weights, boolean draining) {}

    private final HttpCaller caller;

    /**
     * Makes a client.
     *
     * @param caller makes the calls
     */
    public EngineControl(HttpCaller caller) {
        this.caller = caller;
    }

    /**
     * Asks for a load report.
     *
     * @param address the engine
     * @return the report, which lags
     */
    public Promise<LoadReport> load(String address) {
        return caller.call(HttpMethod.GET, "http://" + address + "/load", "", CALL_LIMIT)
                .then(reply -> Json.read(reply.body(), LoadReport.class)
                        .fold(
                                why -> Promise.ofException(new IOException("unreadable load report: " + why)),
                                Promise::of));
    }

    /**
     * Gives an order.
     *
     * @param address the engine
     * @param order the order
     * @return the engine's answer; 409 when it has seen a higher fencing number
     */
    public Promise<HttpReply> order(String address, Order order) {
        return caller.call(HttpMethod.POST, "http://" + address + "/orders", Json.write(order), CALL_LIMIT);
    }
}
