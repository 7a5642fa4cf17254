package org.hornbeamhead.clients;

import io.activej.promise.Promise;
import org.hornbeamhead.core.endpoint.LoadReport;
import org.hornbeamhead.daemon.HttpReply;

/** What engines are asked and told beside requests: load reports and orders. */
public interface EngineControl {
    /**
     * An order to an engine: the state that it should be in.
     *
     * @param fence the fencing number of who gives it
     * @param weights the version of the weights to serve; empty to keep
     * @param draining whether to refuse new work
     */
    record Order(long fence, String weights, boolean draining) {}

    /**
     * Asks for a load report.
     *
     * @param address the engine
     * @return the report, which lags
     */
    Promise<LoadReport> load(String address);

    /**
     * Gives an order.
     *
     * @param address the engine
     * @param order the order
     * @return the engine's answer; 409 when it has seen a higher fencing number
     */
    Promise<HttpReply> order(String address, Order order);
}
