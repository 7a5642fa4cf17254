package org.hornbeamhead.core.config;

import java.util.List;

/**
 * A pool of replicas.
 *
 * @param name the name, as in the list of hosts
 * @param isEngine whether its replicas are model engines; else plain services
 * @param model engines: the model served
 * @param weights engines: the version of the weights that requests must meet
 * @param adapters engines: the adapters that may be asked for
 * @param notRepeatable services: calls that must run at most once, as method and path prefix, such as {@code POST
 *     /bids}
 */
public record Pool(
        String name,
        boolean isEngine,
        String model,
        String weights,
        List<String> adapters,
        List<String> notRepeatable) {
    /** Copies the lists, so that the pool cannot change. */
    public Pool {
        adapters = List.copyOf(adapters);
        notRepeatable = List.copyOf(notRepeatable);
    }

    /**
     * Tells whether a call must run at most once.
     *
     * @param method the HTTP method
     * @param path the path at the service
     * @return true when the operators say so
     */
    public boolean isNotRepeatable(String method, String path) {
        return notRepeatable.stream().anyMatch(call -> (method + " " + path).startsWith(call));
    }
}
