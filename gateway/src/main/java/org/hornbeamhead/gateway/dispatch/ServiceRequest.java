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

    /** Returns the priority, which is that of the customer if it has one, and else that of the route. */
    int priority() {
        return owner().map(KeyOwner::priority).orElse(OptionalInt.empty()).orElse(route().priority());
    }

    /** Returns whether requests of the service may have to wait for more urgent ones. */
    boolean hasDeferrable() {
        return service.engine().isPresent()
                && config().serviceLevels(service.name()).hasDeferrable();
    }

    /** Returns whether the request may have to wait for more urgent ones. */
    boolean isDeferrable() {
        return hasDeferrable() && config().serviceLevels(service.name()).isDeferrable(priority());
    }

    long urgentTargetMillis() {
        return config().urgentTargetMillis(service.name());
    }

    CallerRequest callerRequest() {
        return routed.callerRequest();
    }
}
