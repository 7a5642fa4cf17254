package org.hornbeamhead.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** One version of the operators' configuration, indexed for requests. Immutable. */
public final class RoutingConfig {
    private final long version;
    private final CallerLimits limits;
    private final Map<String, ServiceSpec> services;
    private final List<PromptStore> promptStores;
    private final boolean keysNeeded;
    private final Map<String, KeyOwner> keys;
    private final Map<String, Map<String, Route>> byHost;

    /**
     * Indexes a configuration.
     *
     * @param version its number, higher than those of all versions before
     * @param limits what callers may send
     * @param routes the routes
     * @param services the services
     * @param promptStores the stores of cached prompts
     * @param keysNeeded whether requests on routes that are not open need a key; also true once the last key is taken
     *     away
     * @param keys the owner of each key
     */
    public RoutingConfig(
            long version,
            CallerLimits limits,
            List<Route> routes,
            List<ServiceSpec> services,
            List<PromptStore> promptStores,
            boolean keysNeeded,
            Map<String, KeyOwner> keys) {
        this.version = version;
        this.limits = limits;
        this.services = services.stream().collect(Collectors.toUnmodifiableMap(ServiceSpec::name, Function.identity()));
        this.promptStores = List.copyOf(promptStores);
        this.keysNeeded = keysNeeded;
        this.keys = Map.copyOf(keys);
        this.byHost = routes.stream()
                .collect(Collectors.groupingBy(
                        Route::host, HashMap::new, Collectors.toMap(Route::prefix, r -> r, (a, b) -> b)));
    }

    /**
     * Finds the route with the longest prefix that begins the path.
     *
     * @param host the host as the caller named it, with or without a port
     * @param path the path without its query
     * @return the route, empty when none fits
     */
    public Optional<Route> route(String host, String path) {
        Map<String, Route> routes = byHost.get(hostName(host));
        if (routes == null) {
            return Optional.empty();
        }
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route found = routes.get(path.substring(0, end + 1));
            if (found != null) {
                return Optional.of(found);
            }
        }
        return Optional.empty();
    }

    private static String hostName(String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /**
     * Finds a key's owner.
     *
     * @param key the key
     * @return the owner, empty when no customer holds the key
     */
    public Optional<KeyOwner> owner(String key) {
        return Optional.ofNullable(keys.get(key));
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, empty when this version has none of that name
     */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Tells whether requests need a key on routes that are not open.
     *
     * @return true when the configuration names customers, with or without keys
     */
    public boolean needsKeys() {
        return keysNeeded;
    }

    /**
     * Returns the version's number.
     *
     * @return the number
     */
    public long version() {
        return version;
    }

    /**
     * Returns what callers may send.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the stores of cached prompts.
     *
     * @return the stores
     */
    public List<PromptStore> promptStores() {
        return promptStores;
    }
}
