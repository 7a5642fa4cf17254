package org.hornbeamhead.gateway.caller;

import org.hornbeamhead.core.http.WholeRequest;

/** Answers the requests of callers. */
@FunctionalInterface
public interface CallerHandler {
    /**
     * Answers a request. Called on the reactor's thread; the answer may be written later.
     *
     * @param request the request
     * @param answer takes the answer
     */
    void handle(WholeRequest request, CallerAnswer answer);
}
