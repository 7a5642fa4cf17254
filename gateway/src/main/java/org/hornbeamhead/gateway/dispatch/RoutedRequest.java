package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.route.RoutingConfig;

/**
 * A caller's request with the route and customer that the configuration assigns to it.
 *
 * @param config the configuration that resolved the route and customer
 * @param route the matching route
 * @param owner the customer; empty on open routes
 * @param callerRequest the caller's request
 * @param arrivedAt the monotonic arrival time, in milliseconds
 */
record RoutedRequest(
        RoutingConfig config, Route route, Optional<KeyOwner> owner, CallerRequest callerRequest, long arrivedAt) {
    /** Returns the customer whose quota the request counts against; empty on routes that allow anonymous requests. */
    Optional<KeyOwner> quotaOwner() {
        return route.allowsAnonymous() ? Optional.empty() : owner;
    }
}
