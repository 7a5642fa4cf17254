package org.hornbeamhead.core.route;

import java.util.List;

/**
 * The destination and the service levels of requests with one host and path prefix.
 *
 * @param name the route's name
 * @param host the requested host, in lower case
 * @param prefix the path prefix, starting and ending with a slash
 * @param kind whether requests may be repeated
 * @param resumable whether a broken stream may be resumed at another replica
 * @param allowsAnonymous whether requests need no API key
 * @param namesPromptParts whether requests name the parts of their prompts
 * @param limits the time and attempt limits of requests
 * @param priority the priority, 0 is the highest
 * @param services the weighted services that requests are distributed to; never empty
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        boolean resumable,
        boolean allowsAnonymous,
        boolean namesPromptParts,
        RouteLimits limits,
        int priority,
        List<WeightedService> services) {
    /** Creates a route with a copy of the services, of which there must be at least one. */
    public Route {
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no services");
        }
    }

    /**
     * Returns whether a request may be executed again after a possible execution.
     *
     * @return true for idempotent requests and for resumable streams
     */
    public boolean repeatable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable);
    }

    /**
     * Selects a service by weight.
     *
     * @param hash a uniformly distributed number, such as a hash of the request's id
     * @return the service's name
     */
    public String selectService(long hash) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        long remainder = total == 0 ? 0 : Math.floorMod(hash, (long) total);
        for (WeightedService s : services) {
            remainder -= s.weight();
            if (remainder < 0) {
                return s.service();
            }
        }
        return services.get(0).service();
    }
}
