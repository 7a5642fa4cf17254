package org.hornbeamhead.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** One version of the operators' configuration, indexed for request lookups. Immutable. */
public final class RoutingConfig {
    /** The time limit of a stream whose route states none, in milliseconds. */
    private static final long UNLIMITED_STREAM_MILLIS = 60_000;

    private final long version;
    private final CallerLimits limits;
    private final Map<String, ServiceSpec> services;
    private final List<KvCacheStore> kvCacheStores;
    private final boolean keysRequired;
    private final Map<String, KeyOwner> keys;
    private final CacheIsolation cacheIsolation;
    private final Map<String, Map<String, Route>> routesByHost;
    private final Map<String, Long> longestStreams;
    private final Map<String, ServiceLevels> serviceLevels;
    private final Map<String, Long> urgentTargets;

    /**
     * Creates an indexed configuration.
     *
     * @param version the version number, higher than those of all earlier versions
     * @param limits the limits for requests from callers
     * @param routes the routes
     * @param services the services
     * @param kvCacheStores the external KV cache stores
     * @param keysRequired whether routes that allow no anonymous requests require an API key; stays true after the last
     *     key is removed
     * @param keys the owner of each API key
     * @param cacheIsolation which customers share cached prompt parts
     */
    public RoutingConfig(
            long version,
            CallerLimits limits,
            List<Route> routes,
            List<ServiceSpec> services,
            List<KvCacheStore> kvCacheStores,
            boolean keysRequired,
            Map<String, KeyOwner> keys,
            CacheIsolation cacheIsolation) {
        this.version = version;
        this.limits = limits;
        this.services = services.stream().collect(Collectors.toUnmodifiableMap(ServiceSpec::name, Function.identity()));
        this.kvCacheStores = List.copyOf(kvCacheStores);
        this.keysRequired = keysRequired;
        this.keys = Map.copyOf(keys);
        this.cacheIsolation = cacheIsolation;
        this.routesByHost = routes.stream()
                .collect(Collectors.groupingBy(
                        Route::host, HashMap::new, Collectors.toMap(Route::prefix, r -> r, (a, b) -> b)));
        this.longestStreams = routes.stream()
                .filter(r -> r.kind() == RequestKind.STREAM && r.resumable())
                .flatMap(r -> r.services().stream().map(s -> Map.entry(s.service(), streamMillis(r))))
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue, Math::max));
        this.serviceLevels = routes.stream()
                .filter(r -> r.kind() == RequestKind.STREAM)
                .flatMap(r -> r.services().stream().map(s -> Map.entry(s.service(), ServiceLevels.of(r))))
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue, ServiceLevels::and));
        this.urgentTargets = routes.stream()
                .filter(r -> r.kind() == RequestKind.STREAM)
                .flatMap(r -> r.services().stream()
                        .filter(s -> !serviceLevels(s.service()).isDeferrable(r.priority()))
                        .map(s -> Map.entry(s.service(), r.limits().latencyTargetMillis())))
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue, Math::min));
    }

    private static long streamMillis(Route route) {
        long timeoutMillis = route.limits().timeoutMillis();
        return timeoutMillis > 0 ? timeoutMillis : UNLIMITED_STREAM_MILLIS;
    }

    /**
     * Returns how long a stream of a service that may be resumed can last.
     *
     * @param service the service's name
     * @return the longest timeout of its routes, in milliseconds
     */
    public long longestStreamMillis(String service) {
        return longestStreams.getOrDefault(service, UNLIMITED_STREAM_MILLIS);
    }

    /**
     * Returns what the streaming routes of a service ask of its replicas.
     *
     * @param service the service's name
     * @return the levels of all its streaming routes
     */
    public ServiceLevels serviceLevels(String service) {
        return serviceLevels.getOrDefault(service, ServiceLevels.NONE);
    }

    /**
     * Returns the shortest latency target of the streaming routes of a service that are not deferrable.
     *
     * @param service the service's name
     * @return the target in milliseconds; without a bound if the service has no streaming route
     */
    public long urgentTargetMillis(String service) {
        return urgentTargets.getOrDefault(service, Long.MAX_VALUE);
    }

    /**
     * Returns the route of the host with the longest matching path prefix.
     *
     * @param host the host as sent by the caller, with or without a port
     * @param path the path without the query
     * @return the route, empty if none matches
     */
    public Optional<Route> findRoute(String host, String path) {
        Map<String, Route> routes = routesByHost.get(hostName(host));
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
     * Returns the owner of an API key.
     *
     * @param key the key
     * @return the owner, empty if the key is unknown
     */
    public Optional<KeyOwner> findKeyOwner(String key) {
        return Optional.ofNullable(keys.get(key));
    }

    /**
     * Returns which customers share cached prompt parts.
     *
     * @return the groups of customers
     */
    public CacheIsolation cacheIsolation() {
        return cacheIsolation;
    }

    /**
     * Returns a service by name.
     *
     * @param name the service's name
     * @return the service, empty if this version has no service of that name
     */
    public Optional<ServiceSpec> findService(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns whether routes that allow no anonymous requests require an API key.
     *
     * @return true if the configuration names customers, with or without keys
     */
    public boolean requiresKeys() {
        return keysRequired;
    }

    /**
     * Returns the version number.
     *
     * @return the version number
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits for requests from callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the external KV cache stores.
     *
     * @return the stores
     */
    public List<KvCacheStore> kvCacheStores() {
        return kvCacheStores;
    }
}
