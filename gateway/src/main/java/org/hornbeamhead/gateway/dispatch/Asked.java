package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.route.RoutingConfig;

/**
 * What a caller asks for, as the configuration reads it.
 *
 * @param config the configuration under which the request was read
 * @param route its route
 * @param owner the customer, empty on open routes
 * @param request the request
 * @param arrivedAt the monotonic time at which it came, in milliseconds
 */
record Asked(RoutingConfig config, Route route, Optional<KeyOwner> owner, CallerRequest request, long arrivedAt) {}
