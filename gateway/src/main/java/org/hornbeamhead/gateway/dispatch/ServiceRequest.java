package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import java.util.OptionalInt;
import org.hornbeamhead.core.route.EnginePriority;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.route.RequestKind;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.core.route.ServiceLevels;
import org.hornbeamhead.core.route.ServiceSpec;
import org.hornbeamhead.gateway.quota.QuotaGate;

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

    /** Returns what the streaming routes of the service ask of its replicas. */
    ServiceLevels levels() {
        return config().serviceLevels(service.name());
    }

    /** Returns the priority that engines are told. */
    int enginePriority() {
        OptionalInt customer = owner().map(KeyOwner::priority).orElse(OptionalInt.empty());
        return levels().isMixed()
                ? EnginePriority.ofCustomerThenRoute(customer, route().priority())
                : EnginePriority.ofCustomerElseRoute(customer, route().priority());
    }

    /** Returns whether requests of the service may have to wait for more urgent ones. */
    boolean hasDeferrable() {
        return service.engine().isPresent() && levels().hasDeferrable();
    }

    /** Returns whether the request may have to wait for more urgent ones. */
    boolean isDeferrable() {
        return hasDeferrable() && levels().isDeferrable(route().priority());
    }

    long urgentTargetMillis() {
        return config().urgentTargetMillis(service.name());
    }

    CallerRequest callerRequest() {
        return routed.callerRequest();
    }

    /** Takes back what the request counts in its customer's quota, since no replica has run it. */
    void giveBackQuota(QuotaGate quotas) {
        quotas.giveBack(routed.quotaOwner(), callerRequest().tokenCount());
    }

    /** Returns whether the response is a stream of events. */
    boolean isStreaming() {
        return route().kind() == RequestKind.STREAM;
    }
}
