package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.core.route.ServiceSpec;

/**
 * What is to be done.
 *
 * @param asked what the caller asks for
 * @param service the service that does it
 */
record Subject(Asked asked, ServiceSpec service) {
    RoutingConfig config() {
        return asked.config();
    }

    Route route() {
        return asked.route();
    }

    Optional<KeyOwner> owner() {
        return asked.owner();
    }

    CallerRequest request() {
        return asked.request();
    }
}
