package org.hornbeamhead.core.route;

import java.util.List;

/**
 * Where requests of one host and path prefix go, and what their callers were promised.
 *
 * @param name the route's name
 * @param host the host that callers ask for, in lower case
 * @param prefix the beginning of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param resumable whether a broken stream may go on at another replica
 * @param open whether requests need no key
 * @param sharedPrompts whether requests name the parts of their prompts
 * @param limits how long and how often requests may be tried
 * @param priority the rank, 0 first
 * @param services where requests go, by weight; never empty
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        boolean resumable,
        boolean open,
        boolean sharedPrompts,
        RouteLimits limits,
        int priority,
        List<WeightedService> services) {
    /** Copies the services, so that the route cannot change. */
    public Route {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " leads nowhere");
        }
    }

    /**
     * Tells whether a run may follow another run of the same request.
     *
     * @return true for idempotent requests and for streams that may be resumed
     */
    public boolean repeatable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }

    /**
     * Picks a service by weight.
     *
     * @param draw a number spread evenly over all values, such as a hash of the request's id
     * @return the service's name
     */
    public String serviceFor(long draw) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        long left = total == 0 ? 0 : Math.floorMod(draw, (long) total);
        for (WeightedService s : services) {
            left -= s.weight();
            if (left < 0) {
                return s.service();
            }
        }
        return services.get(0).service();
    }
}
