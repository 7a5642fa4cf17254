package org.hornbeamhead.gateway.caller;

import org.hornbeamhead.core.http.WholeRequest;

/** Handles requests of callers. */
@FunctionalInterface
public interface CallerHandler {
    /**
     * Handles a request. Called on the reactor thread; the response may be written later.
     *
     * @param request the request
     * @param response receives the response
     */
    void handle(WholeRequest request, CallerResponse response);
}
