package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import java.util.OptionalInt;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.core.route.ServiceSpec;

/**
 * A routed request and the service that handles it.
 *
 * @param routed the request with its route and customer
 * @param service the service that handles the request
 */
record ServiceRequest(RoutedRequest routed, ServiceSpec service) {
    RoutingConfig config() {
        return routed.config();
    }

    Route route() {
        return routed.route();
    }

    Optional<KeyOwner> owner() {
        return routed.owner();
    }

    /** Returns the priority of the request: that of its customer if there is one, else that of its route. */
    int priority() {
        return owner().map(KeyOwner::priority).orElse(OptionalInt.empty()).orElse(route().priority());
    }

    CallerRequest callerRequest() {
        return routed.callerRequest();
    }
}
