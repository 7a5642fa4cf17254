package org.hornbeamhead.core.config;

import java.util.List;

/**
 * A pool of replicas.
 *
 * @param name the name of the pool, as in the list of hosts
 * @param isEngine true if the replicas are model engines, false if they are plain services
 * @param model for engines, the model that they serve
 * @param weights for engines, the version of the weights that requests must be served with
 * @param adapters for engines, the adapters that requests may name
 * @param notRepeatable for services, the calls that must run at most once, as method and path prefix, such as
 *     {@code POST /bids}
 */
public record Pool(
        String name,
        boolean isEngine,
        String model,
        String weights,
        List<String> adapters,
        List<String> notRepeatable) {
    /** Copies the lists to keep the pool immutable. */
    public Pool {
        adapters = List.copyOf(adapters);
        notRepeatable = List.copyOf(notRepeatable);
    }

    /**
     * Returns whether a call must run at most once.
     *
     * @param method the HTTP method
     * @param path the path of the call at the service
     * @return true if the configuration lists the call as not repeatable
     */
    public boolean isNotRepeatable(String method, String path) {
        return notRepeatable.stream().anyMatch(call -> (method + " " + path).startsWith(call));
    }
}
