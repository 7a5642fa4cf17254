package org.hornbeamhead.gateway.dispatch;

import java.util.Optional;
import org.hornbeamhead.core.forward.ForwardingState;
import org.hornbeamhead.core.forward.ServedOutcome;
import org.hornbeamhead.core.route.KeyOwner;
import org.hornbeamhead.core.route.RequestKind;
import org.hornbeamhead.core.route.Route;
import org.hornbeamhead.core.route.RoutingConfig;
import org.hornbeamhead.daemon.Metrics;
import org.hornbeamhead.gateway.path.RelayHeaders;

/**
 * A caller's request with the route and customer that the configuration assigns to it.
 *
 * @param config the configuration that resolved the route and customer
 * @param route the matching route
 * @param owner the customer; empty on open routes
 * @param callerRequest the caller's request
 * @param arrivedAt the monotonic arrival time, in milliseconds
 * @param origin what the router told that handed the request over; empty if a caller sent it
 */
record RoutedRequest(
        RoutingConfig config,
        Route route,
        Optional<KeyOwner> owner,
        CallerRequest callerRequest,
        long arrivedAt,
        Optional<RelayHeaders.Origin> origin) {
    /** The timeout of requests whose caller sets none. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;

    /** Returns when the caller or the route's timeout ends the request, on the monotonic clock. */
    long deadline() {
        long callerMillis = callerRequest.timeLeftMillis().orElse(DEFAULT_TIMEOUT_MILLIS);
        long routeMillis = route.limits().timeoutMillis();
        return arrivedAt + (routeMillis > 0 ? Math.min(callerMillis, routeMillis) : callerMillis);
    }

    /** Returns how many attempts of the router that handed the request over may have been executed. */
    int possibleExecutions() {
        return origin.map(RelayHeaders.Origin::possibleExecutions).orElse(0);
    }

    /** Returns whether the router that handed the request over may have sent it to a replica before. */
    boolean isRepeat() {
        return possibleExecutions() > 0;
    }

    /** Returns whether the caller has the first events of the stream and wants those that follow. */
    boolean resumesStream() {
        return route.kind() == RequestKind.STREAM && callerRequest.lastEventId().isPresent();
    }

    /** Returns the id of the request that began the stream which is resumed; the own id of a new request. */
    String firstAttempt() {
        return callerRequest.resumedAttempt().filter(id -> resumesStream()).orElse(callerRequest.id());
    }

    /**
     * Counts the end of the request, at the router that its caller connected to. A router that serves it for that one
     * does not count it again.
     */
    void countServed(ServedOutcome outcome, Metrics metrics) {
        if (origin.isEmpty()) {
            metrics.count("hornbeam_served", "route", route.name(), "outcome", outcome.label());
        }
    }

    /** Returns the customer whose quota the request counts against; empty on routes that allow anonymous requests. */
    Optional<KeyOwner> quotaOwner() {
        return route.allowsAnonymous() ? Optional.empty() : owner;
    }

    /** Returns the state of a request of which this router has sent nothing yet. */
    ForwardingState forwardingState() {
        return origin.map(o -> new ForwardingState(route, o.possibleExecutions(), o.allowedExecutions()))
                .orElseGet(() -> new ForwardingState(route));
    }

    /** Returns the name of the service that handles the request, the same for all attempts at one stream. */
    String service() {
        return route.selectService(hash(firstAttempt()));
    }

    /** Returns a hash that is spread over all values, since the ids themselves may come from a counter. */
    private static long hash(String id) {
        return id.chars().asLongStream().reduce(17, (hash, c) -> hash * 1_000_003 + c) >>> 8;
    }
}
